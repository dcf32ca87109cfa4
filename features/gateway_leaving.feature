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
    Given 1 node before 3 back ends that speak
    When the store is silent for 16 seconds, and "lm-1" leaves 1 second later
    And each node is asked each 0.2 seconds all the while
    Then "lm-1" gets no request later than 2 seconds after a node passed on that it leaves
    And all requests are answered

  Scenario Outline: Whatever an answer is to, and whatever becomes of it, its word counts
    Given 1 node before 3 back ends that speak
    When one answer of "<name>" says that it leaves, "<answer>"
    And each node is asked at "<path>" each 0.1 seconds for 6 seconds
    Then "<name>" gets no request after that answer

    Examples:
      | name | path | answer                              |
      | lm-1 | /a/1 | a stream that ends well             |
      | lm-1 | /a/1 | a stream whose caller leaves        |
      | lm-1 | /a/1 | a stream that breaks off            |
      | lm-1 | /a/1 | a refusal                           |
      | lm-1 | /a/1 | a refusal without proof             |
      | lm-1 | /a/1 | a failure                           |
      | lm-1 | /a/1 | one that belongs to another request |
      | lm-1 | /a/1 | one without a signature             |
      | lm-1 | /a/1 | to an order                         |
      | lm-1 | /a/1 | to a question for its weights       |
      | lm-1 | /a/1 | to a health check                   |
      | o-1  | /s/1 | a whole answer                      |
      | o-1  | /s/1 | a body that breaks off              |
      | o-1  | /o/1 | a whole answer                      |

  Scenario Outline: Nothing brings the same run back, whatever its registration says
    Given 1 node before 3 back ends that speak
    When "lm-1" says once that it leaves, and then <what>
    And each node is asked each 0.1 seconds for 8 seconds
    Then "lm-1" gets no request after that answer

    Examples:
      | what                                             |
      | its registration is written again as ready       |
      | its registration ends and comes again as ready   |
      | everything is read anew from the store           |
      | the store goes away and its registration lapses  |
      | a peer tells the state with it as ready          |

  Scenario Outline: Who comes after it takes work
    Given 1 node before 3 back ends that speak
    When "lm-1" says once that it leaves, and then <what>
    And each node is asked each 0.1 seconds for 8 seconds
    Then "lm-1" gets requests from 2 seconds after that answer on

    Examples:
      | what                                          |
      | its process starts again under its name       |
      | another process registers at its address      |

  Scenario Outline: One node hears it, and the others send nothing more either
    Given <num> nodes of <zones> zones before 3 back ends that speak
    When "lm-1" says to node-1 alone that it leaves
    And 1 seconds later each node is asked each 0.3 seconds for 3 seconds
    Then "lm-1" gets no request after that answer
    And each node logs once that "lm-1" leaves, one of them by an answer

    Examples:
      | num | zones |
      | 3   | 1     |
      | 40  | 4     |

  Scenario: A node that the others do not reach hears it in its own answer
    Given 3 nodes of 1 zones before 3 back ends that speak
    When "node-2" hears nothing of the others
    And the store is silent for 9 seconds, and "lm-1" leaves 1 second later
    And each node is asked each 0.2 seconds all the while
    Then "lm-1" gets no request later than 2 seconds after a node passed on that it leaves

  Scenario: What runs there goes on to its end
    Given 1 node before 1 back ends that speak
    When a long stream runs at "lm-1" while it says that it leaves
    Then that stream is whole

  Scenario: With all back ends leaving callers are refused at once and told when to come back
    Given 1 node before 2 back ends that speak
    When "lm-1,lm-2" say once that they leave
    And each node is asked each 0.1 seconds for 2 seconds
    Then the last 10 callers get 503 within 0.05 seconds, with a time to come back

  Scenario: A back end that leaves is not ordered to load weights
    Given 1 node before 3 back ends that speak
    When "lm-1" says once that it leaves, and then new weights are named
    And each node is asked each 0.1 seconds for 6 seconds
    Then "lm-1" gets no order, and "lm-2" gets one

  Scenario: The memory of back ends that left is bounded
    Given 5000 runs of back ends that said that they leave
    Then the latest 4096 of them are remembered
