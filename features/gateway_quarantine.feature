Feature: A request that crashes its back ends is kept from them, whichever node it comes to

  # Callers of one route saw failures for seconds on end. One of their requests ended the process of
  # each runner that began to run it, some 40 ms later, with all that ran beside it; its caller got
  # 502 and came again, to another node and under a new id, and ended the next runner, 16 in 12 s.
  # Cause: all that was remembered of a request was its own try, and all that was learnt of a crash
  # was the runner's; nobody put the tries of one request together.
  # Evidence: for each of 20 crashes there is one try that ended "status=502 attempts=1
  # causes=...:body_broken" with no event, 77 to 172 ms after it came: the last one that had begun to
  # run there. The others that ran there broke off in the middle of their streams. Six nodes had one
  # such try each, or more; the prompts are of two sizes only, 236 and 1,247 tokens.
  Scenario: Three back ends crash under a request that comes to one node after the other
    Given 3 nodes before 6 back ends
    When a request that crashes back ends comes each 0.7 seconds for 25 seconds, to each node in turn
    Then it reaches at most 3 back ends later than 3 seconds after the third crash
