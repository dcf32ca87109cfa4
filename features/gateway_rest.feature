Feature: A back end that asks for rest gets nothing until the rest has passed

  # Over a tenth of the callers of a service got 503 for seven seconds, though six of its nine back
  # ends had room. Three turned requests away with 503 and asked for 3 s of rest; each node tried each
  # of the three again after 0.15 s, over and over, since a back end that runs nothing looks idle, and
  # was turned away again; where a route allows one attempt, its caller was, too.
  # Cause: the time asked for was not read. Each refusal was followed by one fixed short pause,
  # whatever its reason was.
  # Evidence: 186 refusals by the three in 5 s at seven nodes; between two by the same back end at the
  # same node lie 0.155 s and more in 164 of 165 cases; the three are among the candidates of later
  # requests with a load of 0 or 1.
  Scenario: One of three back ends turns everything away and asks for rest
    Given 1 node before 3 back ends
    When "lm-1" turns everything away and asks for "3" seconds of rest
    And each node is asked each 0.2 seconds for 9 seconds
    Then "lm-1" gets at most 2 requests from a node between 0.5 seconds after such an answer and the end of its rest
    And at most 4 requests are not answered
