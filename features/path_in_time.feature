Feature: A request ends within its deadline whatever holds it up, and its line says what happened

  Scenario Outline: <part> never answers
    Given a request path whose <part> never answers
    When <kind> with a deadline of 2 seconds is sent
    Then it is refused as "deadline_exceeded not_run" after 2 seconds
    And nothing of it is left

    Examples:
      | part                  | kind                     |
      | choice of engines     | a caption                |
      | choice of back ends   | an order                 |
      | ledger of claims      | an order with a key      |
      | ledger of claims      | a caption with a key     |

  Scenario: A final answer does not wait for broken connections to close
    Given a request path whose engines reject it and close slowly
    When a caption with a deadline of 9 seconds is sent
    Then it is refused as "invalid_request not_run" after 0 seconds
    And nothing of it is left

  Scenario: A caller that reads nothing holds its permit for little more than its deadline
    Given a request path with one engine
    When a caption with a deadline of 9 seconds is sent and its answer is never read
    Then the request is over after 14 seconds
    And nothing of it is left

  Scenario: Streams of a process that was paused are not taken for stalled
    Given a request path with one engine
    When a caption is asked for and the process is paused for 10 seconds meanwhile
    Then each of the captions is whole and none was resumed

  Scenario Outline: A resume waits at most until the deadline
    Given a request path whose engine breaks each time
    When an at-most-once caption with a deadline of <deadline> ms is sent
    Then it is refused as "<outcome>" after <deadline> ms

    Examples: back-off alone would wait some three seconds
      | deadline | outcome                   |
      | 1000     | deadline_exceeded unknown |

  Scenario Outline: The request's line and the metrics tell why <kind> <outcome>
    Given a request path whose first back end <failure> and whose second is healthy
    When <kind> with a deadline of 60 seconds is sent
    Then the request's line says "<line>"
    And the metrics say "<metric>"

    Examples:
      | kind      | failure                  | outcome       | line                                                                          | metric                                                                                 |
      | a caption | is healthy               | is plain      | backend=runner-1 attempts=1 resumes=0 hedges=0 causes=-                       | weirscale_attempts_total{kind="generation"} 1.0                                        |
      | a caption | kills at connect         | is retried    | backend=runner-2 attempts=2 resumes=0 hedges=0 causes=runner-1:unreachable:another | weirscale_attempt_failures_total{failure="unreachable",kind="generation",next="another"} 1.0 |
      | a caption | resets at mid-stream     | is resumed    | backend=runner-1 attempts=1 resumes=1 hedges=0 causes=runner-1:broken:resume  | weirscale_resumes_total 1.0                                                            |
      | a caption | kills at mid-stream      | is continued  | backend=runner-2 attempts=2 resumes=1 hedges=0 causes=runner-1:broken:resume,runner-1:unreachable:another | weirscale_continuations_total 1.0                          |
      | a caption | stalls at headers        | is hedged     | backend=runner-2 attempts=2 resumes=0 hedges=1 causes=runner-1:slow:hedge     | weirscale_hedge_wins_total 1.0                                                         |
      | an order  | is unreachable           | is retried    | backend=press-2 attempts=2 resumes=0 hedges=0 causes=press-1:unreachable:another | weirscale_attempt_failures_total{failure="unreachable",kind="service",next="another"} 1.0 |
      | an order  | is broken                | is given up   | backend=press-1 attempts=1 resumes=0 hedges=0 causes=press-1:broken:give_up   | weirscale_attempt_failures_total{failure="broken",kind="service",next="give_up"} 1.0   |

  Scenario: A long chain of causes is cut to a number
    Then a history of 11 failures tells 8 of them and "+3"
