Feature: The trace command leads from a request's id to its cause

  Scenario: The lines of one request from two nodes' logs, in the order of their causes
    Given the logs of two nodes around a failed request
    When the request "q7" is traced
    Then the trace has these lines in order
      | role      | event               |
      | believed  | configuration_taken |
      | believed  | back_end_seen       |
      | meanwhile | back_end_suspected  |
      | request   | request_ended       |

  Scenario Outline: Bad input is one line that names the remedy
    When the request "<id>" is traced in "<files>"
    Then the exit code is <code> and the message names "<remedy>"

    Examples:
      | id | files   | code | remedy       |
      | q9 | logs    | 1    | no request   |
      | q7 | missing | 1    | check        |
      | q7 | none    | 2    | at least one |
