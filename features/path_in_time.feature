Feature: A request ends within its deadline whatever delays it, and its log line explains the outcome

  Guards against requests that outlive their deadline because a part of the path never answers, a
  connection closes slowly or a caller does not read, against permits and choices that are never
  released, and against log lines and metrics that do not show retries, resumes and hedges.

  Scenario Outline: <part> never answers
    Given a request path whose <part> never answers
    When <kind> with a deadline of 2 seconds is sent
    Then the request is refused as "deadline_exceeded not_run" after 2 seconds
    And the node holds nothing for the request

    Examples:
      | part                  | kind                            |
      | choice of engines     | a generation request            |
      | choice of back ends   | an order                        |
      | ledger of claims      | an order with a key             |
      | ledger of claims      | a generation request with a key |

  Scenario: A final answer does not wait until the engine's connections are closed
    Given a request path whose engines reject requests and close connections slowly
    When a generation request with a deadline of 9 seconds is sent
    Then the request is refused as "invalid_request not_run" after 0 seconds
    And the node holds nothing for the request

  Scenario: A caller that does not read holds its permit for little more than its deadline
    Given a request path with one engine
    When a generation request with a deadline of 9 seconds is sent and its answer is never read
    Then the request is over after 14 seconds
    And the node holds nothing for the request

  Scenario: Streams are not treated as stalled after the node's process was suspended
    Given a request path with one engine
    When a generation request is sent and the process is suspended for 10 seconds during the stream
    Then each answer is complete and no stream was resumed

  Scenario Outline: A resume waits at most until the deadline
    Given a request path whose engine breaks the connection each time
    When an at-most-once generation request with a deadline of <deadline> ms is sent
    Then the request is refused as "<outcome>" after <deadline> ms

    Examples: the backoff between resumes alone would take about three seconds
      | deadline | outcome                   |
      | 1000     | deadline_exceeded unknown |

  Scenario Outline: The log line and the metrics explain why <kind> <outcome>
    Given a request path whose first back end <failure> and whose second is healthy
    When <kind> with a deadline of 60 seconds is sent
    Then the request's log line ends with "<line>"
    And the metrics contain "<metric>"

    Examples:
      | kind                 | failure                  | outcome       | line                                                                          | metric                                                                                 |
      | a generation request | is healthy    | needs one attempt | backend=runner-1 attempts=1 resumes=0 hedges=0 causes=-                       | weirscale_attempts_total{kind="generation"} 1.0                                        |
      | a generation request | kills at connect         | is retried    | backend=runner-2 attempts=2 resumes=0 hedges=0 causes=runner-1:unreachable:another | weirscale_attempt_failures_total{failure="unreachable",kind="generation",next="another"} 1.0 |
      | a generation request | resets at mid-stream     | is resumed    | backend=runner-1 attempts=1 resumes=1 hedges=0 causes=runner-1:broken:resume  | weirscale_resumes_total 1.0                                                            |
      | a generation request | kills at mid-stream      | is continued  | backend=runner-2 attempts=2 resumes=1 hedges=0 causes=runner-1:broken:resume,runner-1:unreachable:another | weirscale_continuations_total 1.0                          |
      | a generation request | stalls at headers        | is hedged     | backend=runner-2 attempts=2 resumes=0 hedges=1 causes=runner-1:slow:hedge     | weirscale_hedge_wins_total 1.0                                                         |
      | an order             | is unreachable           | is retried    | backend=press-2 attempts=2 resumes=0 hedges=0 causes=press-1:unreachable:another | weirscale_attempt_failures_total{failure="unreachable",kind="service",next="another"} 1.0 |
      | an order             | is broken                | is given up   | backend=press-1 attempts=1 resumes=0 hedges=0 causes=press-1:broken:give_up   | weirscale_attempt_failures_total{failure="broken",kind="service",next="give_up"} 1.0   |

  Scenario: A long list of causes is truncated, with the number of omitted causes
    Then a history of 11 failures lists 8 of them and "+3"
