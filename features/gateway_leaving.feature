Feature: A back end that states in an answer that it is leaving gets no new requests

  # Guards against nodes that ignore the leaving statement in answers. A back end that was to be
  # replaced got requests during a whole outage of the store, and interrupted them when its process
  # ended. Each of its answers had stated that it was leaving, but its registration could not state it
  # before the store was back, 13 s later. The node had forwarded such an answer at 8.1 s. At 20.7 s,
  # when the store was back, it sent the back end the next request.
  # Cause: nodes read only from the registration whether a back end was leaving. The statement in its
  # answers was forwarded to the caller, and no node read it.
  # Evidence: `back_end_leaving` first appears in the logs of the seven nodes 0.1 s after the store
  # accepted the registration. No event withdrew it later. The request had reached the node 4 ms
  # before it was sent on.
  Scenario: A back end starts to leave during an outage of the store
    Given 1 node and 3 scripted back ends of each service
    When the store does not respond for 16 seconds, and "lm-1" starts to leave 1 second later
    And each node gets a request every 0.2 seconds throughout the outage
    Then "lm-1" gets no request from a node later than 2 seconds after its first leaving statement to that node
    And all requests are answered

  Scenario Outline: A leaving statement counts in the answer to any call, however that answer ends
    Given 1 node and 3 scripted back ends of each service
    When one answer of "<name>", "<answer>", states that it is leaving
    And each node gets a request for "<path>" every 0.1 seconds for 6 seconds
    Then "<name>" gets no request after that answer

    Examples:
      | name | path | answer                              |
      | lm-1 | /a/1 | a complete stream                   |
      | lm-1 | /a/1 | a stream whose caller disconnects   |
      | lm-1 | /a/1 | a truncated stream                  |
      | lm-1 | /a/1 | a refusal                           |
      | lm-1 | /a/1 | a refusal without X-Not-Executed    |
      | lm-1 | /a/1 | an error response                   |
      | lm-1 | /a/1 | an answer to another request        |
      | lm-1 | /a/1 | an answer without a signature       |
      | lm-1 | /a/1 | the answer to a load order          |
      | lm-1 | /a/1 | the answer to a weights query       |
      | lm-1 | /a/1 | the answer to a health check        |
      | o-1  | /s/1 | a complete body                     |
      | o-1  | /s/1 | a truncated body                    |
      | o-1  | /o/1 | a complete body                     |

  Scenario Outline: The same run stays excluded, whatever its registration says
    Given 1 node and 3 scripted back ends of each service
    When "lm-1" states once that it is leaving, and then <event>
    And each node gets a request every 0.1 seconds for 8 seconds
    Then "lm-1" gets no request after that answer

    Examples:
      | event                                            |
      | its registration is written again as ready       |
      | its registration ends and returns as ready       |
      | the node reads the full state from the store     |
      | its registration expires during a store outage   |
      | a peer sends a state in which it is ready        |

  Scenario Outline: The successor of a back end that was leaving gets requests
    Given 1 node and 3 scripted back ends of each service
    When "lm-1" states once that it is leaving, and then <event>
    And each node gets a request every 0.1 seconds for 8 seconds
    Then the successor of "lm-1" gets requests from 2 seconds after that answer on

    Examples:
      | event                                         |
      | its process restarts under the same name      |
      | another process registers at its address      |

  Scenario Outline: All nodes stop sending requests after a statement to only one of them
    Given <num> nodes in <zones> zones and 3 scripted back ends of each service
    When "lm-1" states to node-1 only that it is leaving
    And after 1 more seconds each node gets a request every 0.3 seconds for 3 seconds
    Then "lm-1" gets no request after that answer
    And each node logs once that "lm-1" is leaving, one of them because of an answer

    Examples:
      | num | zones |
      | 3   | 1     |
      | 40  | 4     |

  Scenario: An isolated node reads the statement in its own answer
    Given 3 nodes in 1 zones and 3 scripted back ends of each service
    When "node-2" exchanges no datagrams with the other nodes
    And the store does not respond for 9 seconds, and "lm-1" starts to leave 1 second later
    And each node gets a request every 0.2 seconds throughout the outage
    Then "lm-1" gets no request from a node later than 2 seconds after its first leaving statement to that node

  Scenario: Requests that run at a back end that is leaving are completed
    Given 1 node and 1 scripted back ends of each service
    When a long stream runs at "lm-1" while it states that it is leaving
    Then that stream is complete

  Scenario: With all back ends leaving, callers are refused at once and told when to retry
    Given 1 node and 2 scripted back ends of each service
    When "lm-1,lm-2" state once that they are leaving
    And each node gets a request every 0.1 seconds for 2 seconds
    Then the last 10 callers get 503 within 0.05 seconds, with a Retry-After

  Scenario: A back end that is leaving is not ordered to load weights
    Given 1 node and 3 scripted back ends of each service
    When "lm-1" states once that it is leaving, and then a new weight version is requested
    And each node gets a request every 0.1 seconds for 6 seconds
    Then "lm-1" gets no order, and "lm-2" gets one

  Scenario: The number of remembered leaving runs is bounded
    Given 5000 runs of back ends that stated that they are leaving
    Then the latest 4096 of them are remembered
