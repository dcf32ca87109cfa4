Feature: All nodes together send a back end no more requests than the limit that it states

  # Guards against nodes that ignore the request limits in answers. Two back ends that needed relief
  # stated limits of 1.1 and 1.2 requests per second for all nodes together, and still got 3 to 4 per
  # second: 12 and 15 in 4 s from nodes that had received the statements. Callers noticed nothing,
  # but the back ends got no relief.
  # Sequence: both began to state their limits at 8.0 s; seven nodes forwarded the answers; the
  # bounds were exceeded at 11.2 s and 11.4 s, as soon as they applied.
  # Cause: no node read the header. It was forwarded to the caller with the rest of the head, as the
  # headers for leaving and rest had been: each was read only after its neglect caused a failure.
  # Evidence: after 8.0 s, these two back ends got as many requests per second as before, and so did
  # the other seven; all nine were candidates of every request at every node.
  Scenario: Two of nine back ends state limits to seven nodes
    Given 7 nodes in 4 zones and 9 scripted back ends of each service
    When after 2 seconds "lm-1" and "lm-2" state limits of "1.1" and "1.2"
    And each node gets a request every 0.22 seconds for 14 seconds
    Then no limit is exceeded
    And all requests are answered

  Scenario Outline: The limit holds for all nodes together, however many there are
    Given <num> nodes in <zones> zones and 4 scripted back ends of each service
    When after 1 seconds "lm-1" states a limit of "<limit>"
    And each node gets a request every <interval_s> seconds for 12 seconds
    Then no limit is exceeded
    And "lm-1" gets at most <most> requests from 4 to 12 seconds after its first statement
    And "lm-1" gets at least <least> requests from 4 to 12 seconds after its first statement

    Examples: at most the limit plus 4 requests; at least half the limit if nodes get requests often
      | num | zones | limit | interval_s | most | least |
      | 1   | 1     | 0.5   | 0.1        | 8    | 2     |
      | 7   | 4     | 0.5   | 0.3        | 8    | 2     |
      | 7   | 4     | 2     | 0.3        | 20   | 8     |
      | 24  | 4     | 2     | 1          | 20   | 2     |

  Scenario Outline: A stated limit is parsed, or logged as unreadable
    Given 1 node and 3 scripted back ends of each service
    When "lm-1" states the limits "<limits>" from the start
    And each node gets a request every 0.1 seconds for 9 seconds
    Then "lm-1" gets at most <most> requests in any 4 seconds
    And the log reports "<unreadable>" as an unreadable limit, once

    Examples: limits
      | limits         | most | unreadable |
      | 1              | 11   | nothing    |
      | 1.             | 11   | nothing    |
      | .5             | 8    | nothing    |
      | 0.05           | 5    | nothing    |
      | 0              | 5    | nothing    |
      | 5 and 0.5      | 8    | nothing    |
      | 0.5 and 5      | 8    | nothing    |
      | 0.5 and many   | 8    | many       |

    Examples: none
      | limits         | most | unreadable |
      | -1             | 99   | -1         |
      | nan            | 99   | nan        |
      | 1e3            | 99   | 1e3        |
      | 1, 2           | 99   | 1, 2       |
      | few            | 99   | few        |

  Scenario Outline: A limit far above any traffic counts as no limit
    Given 1 node and 3 scripted back ends of each service
    When "lm-1" states the limits "<limits>" from the start
    And each node gets a request every 0.1 seconds for 6 seconds
    Then "lm-1" gets at least 20 requests from 0 to 6 seconds after its first statement
    And the log reports no limit

    Examples:
      | limits                                   |
      | 1000000                                  |
      | 99999999999999999999999999999999         |
      | four hundred nines                       |

  Scenario Outline: A limit counts in the answer to any call, however that answer ends
    Given 1 node and 3 scripted back ends of each service
    When one answer of "<name>", "<answer>", states a limit of "0.2"
    And each node gets a request for "<path>" every 0.1 seconds for 1.9 seconds
    Then "<name>" gets at most 1 request within 1.5 seconds after that answer

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

  Scenario: All nodes soon stop applying a limit that has ended
    Given 7 nodes in 4 zones and 3 scripted back ends of each service
    When "lm-1" states a limit of "0.5" from 1 to 8 seconds
    And each node gets a request every 0.3 seconds for 18 seconds
    Then "lm-1" gets at most 8 requests in any 4 seconds from 1 to 7 seconds after its first statement
    And "lm-1" gets at least 15 requests from 12 to 15 seconds after its first statement
    And each node logs that the limit of "lm-1" has ended

  Scenario Outline: When a limit changes, the latest statement applies
    Given 7 nodes in 4 zones and 3 scripted back ends of each service
    When "lm-1" states a limit of "<first>", and 6 seconds later of "<then>"
    And each node gets a request every 0.3 seconds for 16 seconds
    Then no limit is exceeded
    And "lm-1" gets at most <most> requests from 10 to 14 seconds after its first statement
    And "lm-1" gets at least <least> requests from 10 to 14 seconds after its first statement

    Examples:
      | first | then | most | least |
      | 4     | 0.5  | 8    | 0     |
      | 0.5   | 4    | 29   | 8     |

  Scenario: A limit does not apply to the next run of its back end
    Given 1 node and 3 scripted back ends of each service
    When "lm-1" states a limit of "0.2" for 2 seconds, and then its process restarts under the same name
    And each node gets a request every 0.1 seconds for 6 seconds
    Then "lm-1" gets at least 10 requests in the last 5 seconds

  Scenario: A limit still applies to the same run after its registration ended and returned
    Given 1 node and 3 scripted back ends of each service
    When "lm-1" states a limit of "0.2" for 2 seconds, and then its registration ends and returns as ready
    And each node gets a request every 0.1 seconds for 4 seconds
    Then "lm-1" gets at most 2 requests in the last 4 seconds

  Scenario Outline: All nodes keep to a limit that was first stated to only one of them
    Given <num> nodes in <zones> zones and 3 scripted back ends of each service
    When "lm-1" states a limit of "0.2", at first only to node-1
    And after 1 more seconds each node gets a request every 0.3 seconds for 3 seconds
    Then "lm-1" gets at most 4 requests in the last 4 seconds

    Examples:
      | num | zones |
      | 3   | 1     |
      | 40  | 4     |

  Scenario: An isolated node keeps to its share of a limit, and the others keep to the rest
    Given 7 nodes in 4 zones and 4 scripted back ends of each service
    When "node-2" exchanges no datagrams with the other nodes
    And after 1 seconds "lm-1" states a limit of "1"
    And each node gets a request every 0.3 seconds for 14 seconds
    Then no limit is exceeded
    And all requests are answered

  Scenario: A killed node costs its share of a limit and no more
    Given 7 nodes in 4 zones and 4 scripted back ends of each service
    When after 1 seconds "lm-1" states a limit of "2"
    And an issuer of permits for "lm-1" is killed after 4 seconds
    And each node gets a request every 0.3 seconds for 14 seconds
    Then no limit is exceeded
    And "lm-1" gets at least 4 requests from 6 to 12 seconds after its first statement

  Scenario: No node considers itself the only node after an outage of the store
    Given 7 nodes in 4 zones and 4 scripted back ends of each service
    When after 1 seconds "lm-1" states a limit of "1"
    And the store does not respond for 9 seconds, until all registrations of nodes have ended
    And each node gets a request every 0.3 seconds for 16 seconds
    Then no limit is exceeded
    And the same nodes issue permits for "lm-1" throughout

  Scenario: With all back ends limited, callers are served up to the limits and refused beyond them at once
    Given 7 nodes in 4 zones and 3 scripted back ends of each service
    When all back ends of the service state a limit of "2" from the start
    And each node gets a request every 0.5 seconds for 20 seconds
    Then no limit is exceeded
    And at least 60 of the callers from 8 seconds on are answered
    And the others get 503 within 0.35 seconds, with a Retry-After of at most 2 seconds
    And the log of each node gives "limited" as the cause of these refusals
    And the median refusal takes at most 0.05 seconds

  Scenario: Of callers that arrive together one waits, and the others are refused at once
    Given 7 nodes in 4 zones and 2 scripted back ends of each service
    When all back ends of the service state a limit of "4" from the start
    And 12 callers arrive together at one node every 0.7 seconds for 14 seconds
    Then no limit is exceeded
    And at most 1 of 4 refused callers waited for more than 0.05 seconds

  Scenario Outline: A limit above the traffic of the only back end delays its callers only briefly
    Given <num> nodes in 1 zones and 1 scripted back ends of each service
    When all back ends of the service state a limit of "<limit>" from the start
    And each node gets a request every <interval_s> seconds for 12 seconds
    Then all callers from 3 seconds on are answered, with the first event within <first_s> seconds

    Examples:
      | num | limit | interval_s | first_s |
      | 1   | 4     | 0.5        | 0.4     |
      | 3   | 6     | 1.5        | 0.5     |
      | 3   | 60    | 0.5        | 0.2     |
      | 3   | 2     | 2          | 0.6     |

  Scenario: Failed attempts and health checks use permits too
    Given 1 node and 2 scripted back ends of each service
    When "lm-1" states the limits "0.5" from the start and soon refuses connections
    And each node gets a request every 0.1 seconds for 12 seconds
    Then "lm-1" gets at most 8 requests and health checks in any 4 seconds
    And "lm-1" gets at most 8 requests and health checks in all

  Scenario: An unknown header of the same kind is logged once
    Given 2 nodes in 1 zones and 2 scripted back ends of each service
    When all back ends send an unknown header of the same kind
    And each node gets a request every 0.1 seconds for 2 seconds
    Then each node logs this header once as unknown
