Feature: What a gateway logs and measures leads from a request to its cause, and never blocks it

  Scenario: A reader that stops reading costs no event and no memory
    Given a line log on a pipe that nobody reads
    When 20000 events are logged in bursts, with flushes between
    Then no call blocked, and at most 2000 lines wait
    And what was dropped is counted

  Scenario: Ordinary successes are dropped before failures
    Given a line log on a pipe that is read
    When 1000 successes and 100 failures are logged at once
    Then all failures are written and some successes are not

  Scenario: What was dropped is told once a second
    Given a line log on a pipe that is read
    When 1000 successes and 100 failures are logged at once
    And the log is flushed as its task does
    Then one line tells how many were dropped

  Scenario Outline: A request's line tells its outcome and what decided it
    Given two back ends of which the one asked first does "<fault>" once
    When <kind> request is sent
    Then its line has the outcome "<outcome>" and a cause with "<cause>"
    And its line has the fields of the table in the operators' page

    Examples:
      | kind        | fault  | outcome   | cause       |
      | a resumable | none   | answered  |             |
      | a resumable | break  | answered  | body_broken |
      | a single    | refuse | refused   | refused_503 |
      | a single    | break  | broken    | body_broken |
      | a single    | hang   | timed_out | time_out    |
      | an order    | reset  | failed    | no_answer   |

  Scenario: Every event that the gateway logs stands in the operators' page
    Given the source files of the gateway
    Then each event name that they log stands in the operators' page
    And each metric that they define stands in the operators' page

  Scenario: The metrics are one text with counts by kind and outcome
    Given two back ends of which the one asked first does "none" once
    When a single request is sent
    Then the metrics tell 1 streaming request that was answered

  Scenario: The metrics tell calls to the store by kind and result
    Given a gateway whose store is down for a while after the start
    Then the metrics tell calls "follow" and "revision" that succeeded and some that failed

  # Tries of one request came to other nodes and under other ids; no line told that they were one.
  Scenario Outline: Tries that lost their back end are told to be of one request
    Given two back ends of which the one asked first does "<fault>" once
    When <kind> request is sent
    Then its line tells which request it is

    Examples:
      | kind     | fault |
      | a single | break |
      | an order | reset |
