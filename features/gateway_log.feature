Feature: Log lines and metrics show the cause of each request's outcome, and logging never blocks
  A log reader that stops reading must not stop the node or use up its memory. Under load, lines of
  failures must not be lost among those of successes. Events and metrics that the operators' page
  does not describe cannot be found by operators.

  Scenario: A reader that stops reading does not block the node or use up its memory
    Given a line log on a pipe that is not read
    When 20000 events are logged in bursts, with flushes between
    Then no call blocked, and at most 2000 lines wait
    And the dropped lines are counted

  Scenario: Lines of successes are dropped before those of failures
    Given a line log on a pipe that is read
    When 1000 successes and 100 failures are logged at once
    Then all failures are written and some successes are not

  Scenario: The number of dropped lines is logged once a second
    Given a line log on a pipe that is read
    When 1000 successes and 100 failures are logged at once
    And the log is flushed as its task does
    Then one line states how many lines were dropped

  Scenario Outline: The log line of a request states its outcome and the cause
    Given two back ends of which the one asked first does "<fault>" once
    When <kind> request is sent
    Then the request's log line has the outcome "<outcome>" and a cause with "<cause>"
    And the operators' page has the name of each field of the request's log line

    Examples:
      | kind        | fault  | outcome   | cause       |
      | a resumable | none   | answered  |             |
      | a resumable | break  | answered  | body_broken |
      | a single    | refuse | refused   | refused_503 |
      | a single    | break  | broken    | body_broken |
      | a single    | hang   | timed_out | time_out    |
      | an order    | reset  | failed    | no_answer   |

  # Without it, a failure of the gateway itself looks like a caller that left.
  Scenario: The log line of a request during which the gateway itself fails names the error
    Given two back ends of which the one asked first does "none" once
    When a single request is sent and the choice of a back end raises a ZeroDivisionError
    Then the request's log line has "outcome=error" and "causes=internal_error:ZeroDivisionError"

  # Without these fields, a body that its back end ended looks like one that a crash cut off.
  Scenario Outline: The log line of a request tells how the bodies of its answers were framed and ended
    Given two back ends of which the one asked first does "<fault>" once
    When <kind> request is sent
    Then the request's log line has "bodies=<bodies>" and "outcome=<outcome>"

    Examples:
      | kind        | fault            | bodies                                      | outcome   |
      | an order    | none             | length:whole                                | answered  |
      | an order    | break            | connection:short                            | failed    |
      | a resumable | end_inside       | connection:inside_event,chunks:whole        | answered  |
      | a single    | end_before_event | connection:before_event                     | failed    |
      | a single    | unframed         | connection:whole                            | answered  |
      | a single    | crash_between    | connection:unproved                         | broken    |
      | a single    | stall            | chunks:abandoned                            | timed_out |

  Scenario: The metrics count the bodies of answers by framing and end
    Given two back ends of which the one asked first does "end_inside" once
    When a single request is sent
    Then the metrics count 1 body that was framed by "connection" and ended "inside_event"

  Scenario: The operators' page has all events and metrics of the gateway
    Given the source files of the gateway
    Then the operators' page has the name of each event that they log
    And the operators' page has the name of each metric that they define

  Scenario: The metrics text counts requests by kind and outcome
    Given two back ends of which the one asked first does "none" once
    When a single request is sent
    Then the metrics count 1 streaming request that was answered

  Scenario: The metrics count calls to the store by kind and result
    Given a gateway whose store is down for a while after the start
    Then the metrics count calls "follow" and "revision" that succeeded, and some that failed

  # Retries of one request arrive at other nodes and under other ids. Without a fingerprint in their log
  # lines, operators cannot tell that they belong to the same request.
  Scenario Outline: The log line of a request that lost its back end has the request's fingerprint
    Given two back ends of which the one asked first does "<fault>" once
    When <kind> request is sent
    Then the request's log line has the request's fingerprint

    Examples:
      | kind     | fault |
      | a single | break |
      | an order | reset |

  # Without these fields, a try that takes a stream up looks like any other, and an answer of two
  # versions of a service like one of a single version.
  Scenario: The log line of a resumed stream tells its versions, and which try it takes up
    Given two back ends of one version of which the one asked first does "break" once
    When a resumable request is sent that breaks off and goes on
    Then the request's log line has "began_at=v1" and "software=v1"

  Scenario: The log line of a try that takes a stream up tells which try and event it names
    Given two back ends of which the one asked first does "none" once
    When a resumable request is sent that takes up the stream of "q0" after event 1
    Then the request's log line has "resumes=q0" and "after=1"
