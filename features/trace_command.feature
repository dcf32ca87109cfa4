Feature: The trace command shows the cause of a request's outcome
  From the logs of several nodes it selects the lines that explain a request: the state that its node
  relied on, the events of other nodes meanwhile, and the request's own line.

  Scenario: The trace of a request combines the logs of two nodes, in the order of cause and effect
    Given the logs of two nodes around a failed request
    When the request "q7" is traced
    Then the trace has these lines in order
      | role      | event               |
      | believed  | configuration_taken |
      | believed  | back_end_seen       |
      | meanwhile | back_end_suspected  |
      | request   | request_ended       |

  Scenario Outline: Invalid input prints one line that names the remedy
    When the request "<id>" is traced in "<files>"
    Then the exit code is <code> and the message contains "<remedy>"

    Examples:
      | id | files   | code | remedy       |
      | q9 | logs    | 1    | no request   |
      | q7 | missing | 1    | check        |
      | q7 | none    | 2    | at least one |
