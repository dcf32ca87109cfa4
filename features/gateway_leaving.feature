Feature: A back end that says in an answer that it leaves gets no new work

  # A back end that was to be replaced got requests for as long as the store was silent, and cut them
  # when it ended. It had said in each of its answers that it leaves; its registration could not say
  # so before the store was back, 13 s later. The node had passed such an answer on at 8.1 s, and at
  # 20.7 s, as the store came back, sent it the next request.
  # Cause: whether a back end leaves was read off its registration alone; what its answers said of it
  # went through the node to the caller and was read by nobody.
  # Evidence: `back_end_leaving` stands in the seven nodes' logs for the first time 0.1 s after the
  # store took the registration, and not before; no event took such a mark back; the request had come
  # to the node 4 ms before it was sent on.
  Scenario: The store is silent while a back end leaves
    Given 1 node before 3 back ends
    When the store is silent for 16 seconds, and "lm-1" leaves 1 second later
    And each node is asked each 0.2 seconds all the while
    Then "lm-1" gets no request later than 2 seconds after a node passed on that it leaves
    And all requests are answered
