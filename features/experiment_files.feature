Feature: Experiment files are checked and report figures are computed from histories
  Guards against experiment files that are misread without an error, callers that misread an answer,
  and report figures that do not follow from the recorded history.

  Scenario: A valid experiment file is accepted
    Given an experiment file with faults "hot_shift at 10 for 5, engine_crash at 20 for 1"
    When the experiment file is checked
    Then the experiment file is accepted
    And the experiment's workload shifts its hot set at 10 s with twice the rate for 5 s

  Scenario Outline: Each error states line, field and remedy
    Given an experiment file in which "<before>" is replaced by "<after>"
    When the experiment file is checked
    Then the experiment file has one error at line <line> for "<field>" with remedy "<remedy>"

    Examples:
      | before           | after              | line | field                    | remedy                                       |
      | format: 1        | format: 2          | 1    | format                   | write `format: 1`                            |
      | preset: yearbook | preset: almanac    | 5    | workload.preset          | use one of: yearbook, racing                 |
      | seed: 1          | sead: 1            | 7    | sead                     | use one of: format, name,                    |
      | duration_s: 60   | duration_s: 0      | 6    | duration_s               | write a finite number, more than 0           |
      | duration_s: 60   | duration_s: soon   | 6    | duration_s               | write a number                               |
      | kind: store_down | kind: store_asleep | 9    | faults[0].kind           | write one of: engine_crash,                  |
      | at_s: 5          | at_s: 60           | 10   | faults[0].at_s           | write 0 or more and less than 60.0           |
      | lasts_s: 3       | lasts_s: -1        | 11   | faults[0].lasts_s        | write a finite number, more than 0           |

  Scenario Outline: A caller reads each kind of answer over HTTP
    Given a server that answers "<answer>"
    When a caller reads the answer over HTTP
    Then the caller has received "<received>"

    Examples:
      | answer             | received                                 |
      | a whole stream     | text abcd, text efgh, end length         |
      | a cut stream       | text abcd, break connected               |
      | a stream and error | text abcd, refusal stream_broken unknown |
      | a refusal          | refusal overloaded not_run               |
      | a body             | body 200 done                            |
      | no connection      | break unconnected                        |

  Scenario: Report figures follow from the history
    Given the recorded history "a plain answered run"
    When its report figures are computed
    Then the report's time to first token is 0.2 s and its hit rate is 0.0
    And the report's recomputed tokens ratio is 1.0
    And the report has the agreed keys and reads back equal

  Scenario: Time to first token is counted from the intended send time
    Given the recorded history "a plain answered run" whose caption was due to be sent 3 s earlier
    When its report figures are computed
    Then the report's time to first token is 3.2 s and its hit rate is 0.0

  Scenario Outline: Cached tokens count as hits and save recomputation
    Given the recorded history "<history>"
    When its report figures are computed
    Then the report's time to first token is 0.2 s and its hit rate is <hit rate>
    And the report's recomputed tokens ratio is <ratio>

    Examples:
      | history                              | hit rate | ratio |
      | cached prefix of the same engine run | 0.487    | 1.0   |
      | same prompt computed twice           | 0.0      | 1.949 |
