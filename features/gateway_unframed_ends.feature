Feature: An answer is framed as complete only if its back end has ended it
  An answer may have neither a length nor chunks and end with its connection. The connections of a
  process that crashes end the same way. Guards against answers that a crash cut off and that reach
  their callers as complete, and against whole ones that are cut.

  Scenario Outline: An answer that a crash cut off does not look complete, <kind>: <faults>
    Given two back ends that have the faults "<faults>", one at each attempt
    When <kind> request is sent
    Then the caller gets "<answer>"
    And the request has run <runs> times

    Examples: streams
      | kind        | faults                              | answer | runs |
      | a single    | crash_before_event                  | 502    | 1    |
      | a single    | crash_between                       | cut    | 1    |
      | a single    | crash_in_comment                    | cut    | 1    |
      | a single    | crash_silent                        | cut    | 1    |
      | a single    | crash_after                         | cut    | 1    |
      | a single    | crash_reborn                        | cut    | 1    |
      | a fixed     | crash_between                       | cut    | 1    |
      | a resumable | crash_before_event                  | stream | 2    |
      | a resumable | crash_between                       | stream | 2    |
      | a resumable | crash_in_comment                    | stream | 2    |
      | a resumable | crash_silent                        | stream | 2    |
      | a resumable | crash_after                         | stream | 2    |
      | a resumable | crash_reborn                        | stream | 2    |
      | a resumable | break, crash_before_event, connect  | cut    | 2    |
      | a resumable | break, crash_between, connect       | cut    | 2    |
      | a resumable | break, crash_in_comment, connect    | cut    | 2    |

    Examples: answers that are no streams
      | kind        | faults                              | answer | runs |
      | an order    | crash_between                       | 502    | 1    |
      | an order    | crash_silent                        | 502    | 1    |
      | an order    | error_crash                         | 502    | 1    |
      | a status    | crash_between                       | whole  | 2    |
      | a status    | error_crash                         | whole  | 2    |

  Scenario Outline: An answer whose back end ended it is whole
    Given two back ends of which the one asked first does "<fault>" once
    When <kind> request is sent
    Then the caller gets "<answer>"
    And the request has run 1 times

    Examples:
      | kind        | fault    | answer |
      | a single    | unframed | stream |
      | a resumable | unframed | stream |
      | an order    | unframed | whole  |
      | a status    | unframed | whole  |

  Scenario Outline: A health check that waits for a slot delays the end of an answer only, <kind>
    Given two back ends of which the one asked first does "unframed" once
    And their health checks wait 0.7 seconds for a slot
    When <kind> request is sent
    Then the caller gets "<answer>"
    And the request has run 1 times
    And its last byte arrived at most 0.2 seconds after the first one, and its end at most 1 second later

    Examples:
      | kind        | answer |
      | a single    | stream |
      | a resumable | stream |

  # A crash that is known late must not count as one under a request that had long been answered.
  Scenario: A crash is charged to what was written until the connection ended
    Given two back ends of which the one asked first does "crash_silent_at_first" once
    When a single request is sent and its back end is checked for a crash
    Then the log has a crash under a request that had been written for at most 0.2 seconds

  Scenario Outline: A broken answer that ended with its connection counts as broken, <fault>
    Given two back ends of which the one asked first does "<fault>" once
    When a single request is sent and its back end is checked for a crash
    Then the log has a crash under a request that had been written for at most 0.2 seconds
    And the log says that the end of an answer was unproved, as its run had ended

    Examples:
      | fault         |
      | crash_between |
      | crash_reborn  |
