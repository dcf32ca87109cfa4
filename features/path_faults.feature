Feature: A caller gets the whole answer, once and in order, whatever an engine does

  Scenario Outline: One engine <fault>s at <step>, <kind> caption
    Given an engine that will <fault> once at the step "<step>" and a healthy engine
    When <kind> caption is asked for, streamed and whole
    Then each caption ends as "<outcome>"
    And the history of the request path is clean

    Examples: the step at which an engine fails, how, and what the caller gets
      | step          | fault     | kind           | outcome                 |
      | connect       | kill      | a repeatable   | complete                |
      | connect       | kill      | an at-most-once | complete               |
      | connect       | stall     | a repeatable   | complete                |
      | connect       | stall     | an at-most-once | backend_failed unknown |
      | connect       | reset     | a repeatable   | complete                |
      | connect       | reset     | an at-most-once | complete               |
      | connect       | busy      | an at-most-once | complete               |
      | connect       | mismatch  | an at-most-once | complete               |
      | connect       | invalid   | a repeatable   | invalid_request not_run |
      | headers       | kill      | a repeatable   | complete                |
      | headers       | kill      | an at-most-once | backend_failed unknown |
      | headers       | stall     | a repeatable   | complete                |
      | headers       | stall     | an at-most-once | complete               |
      | headers       | cross     | a repeatable   | complete                |
      | headers       | cross     | an at-most-once | complete               |
      | headers       | duplicate | a repeatable   | complete                |
      | headers       | duplicate | an at-most-once | complete               |
      | headers       | cut       | a repeatable   | complete                |
      | headers       | cut       | an at-most-once | complete               |
      | headers       | reset     | a repeatable   | complete                |
      | headers       | reset     | an at-most-once | complete               |
      | first chunk   | kill      | a repeatable   | complete                |
      | first chunk   | kill      | an at-most-once | backend_failed unknown |
      | first chunk   | stall     | a repeatable   | complete                |
      | first chunk   | stall     | an at-most-once | complete               |
      | first chunk   | cross     | a repeatable   | complete                |
      | first chunk   | cross     | an at-most-once | complete               |
      | first chunk   | duplicate | a repeatable   | complete                |
      | first chunk   | duplicate | an at-most-once | complete               |
      | first chunk   | cut       | a repeatable   | complete                |
      | first chunk   | cut       | an at-most-once | complete               |
      | first chunk   | reset     | a repeatable   | complete                |
      | first chunk   | reset     | an at-most-once | complete               |
      | first chunk   | skip      | an at-most-once | complete               |
      | mid-stream    | kill      | a repeatable   | complete                |
      | mid-stream    | kill      | an at-most-once | stream_broken ran      |
      | mid-stream    | stall     | a repeatable   | complete                |
      | mid-stream    | stall     | an at-most-once | complete               |
      | mid-stream    | cross     | a repeatable   | complete                |
      | mid-stream    | cross     | an at-most-once | complete               |
      | mid-stream    | duplicate | a repeatable   | complete                |
      | mid-stream    | duplicate | an at-most-once | complete               |
      | mid-stream    | cut       | a repeatable   | complete                |
      | mid-stream    | cut       | an at-most-once | complete               |
      | mid-stream    | reset     | a repeatable   | complete                |
      | mid-stream    | reset     | an at-most-once | complete               |
      | mid-stream    | skip      | an at-most-once | complete               |
      | last chunk    | kill      | a repeatable   | complete                |
      | last chunk    | kill      | an at-most-once | stream_broken ran      |
      | last chunk    | stall     | a repeatable   | complete                |
      | last chunk    | stall     | an at-most-once | complete               |
      | last chunk    | cross     | a repeatable   | complete                |
      | last chunk    | cross     | an at-most-once | complete               |
      | last chunk    | duplicate | a repeatable   | complete                |
      | last chunk    | duplicate | an at-most-once | complete               |
      | last chunk    | cut       | a repeatable   | complete                |
      | last chunk    | cut       | an at-most-once | complete               |
      | last chunk    | reset     | a repeatable   | complete                |
      | last chunk    | reset     | an at-most-once | complete               |
      | after the end | kill      | a repeatable   | complete                |
      | after the end | kill      | an at-most-once | complete               |
      | after the end | stall     | an at-most-once | complete               |
      | after the end | cross     | an at-most-once | complete               |
      | after the end | duplicate | an at-most-once | complete               |
      | after the end | cut       | an at-most-once | complete               |
      | after the end | reset     | an at-most-once | complete               |

  Scenario Outline: Every engine <fault>s each time at <step>, <kind> caption
    Given two engines that <fault> each time at the step "<step>"
    When <kind> caption is asked for, streamed and whole
    Then each caption ends as "<outcome>"
    And the history of the request path is clean

    Examples: no engine can serve, and the refusal says what is proved
      | step        | fault | kind            | outcome                |
      | connect     | kill  | a repeatable    | backend_failed not_run |
      | connect     | busy  | an at-most-once | backend_failed not_run |
      | connect     | stall | a repeatable    | backend_failed unknown |
      | headers     | reset | a repeatable    | backend_failed unknown |
      | headers     | cut   | an at-most-once | backend_failed unknown |
      | first chunk | cross | a repeatable    | backend_failed unknown |
      | mid-stream  | kill  | a repeatable    | stream_broken ran      |
      | mid-stream  | stall | an at-most-once | stream_broken ran      |
      | mid-stream  | skip  | a repeatable    | stream_broken ran      |

  Scenario: An answer is never continued with other weights
    Given an engine that will kill once at the step "mid-stream" and a healthy engine
    And the healthy engine serves other weights
    When a repeatable caption is asked for, streamed and whole
    Then each caption ends as "stream_broken ran"
    And the history of the request path is clean

  Scenario: A spent retry budget ends retries
    Given an engine that will kill once at the step "connect" and a healthy engine
    And a retry budget of nothing
    When a repeatable caption is asked for, streamed and whole
    Then each caption ends as "backend_failed not_run"
    And the history of the request path is clean

  Scenario: A deadline ends a request with what is known
    Given two engines that stall each time at the step "headers"
    When a caption with 2000 ms is asked for
    Then each caption ends as "deadline_exceeded unknown"
    And the captions took at most 2.1 seconds
    And the history of the request path is clean

  Scenario Outline: A hedge answers when the first engine <fault>s at <step>
    Given an engine that will <fault> once at the step "<step>" and a healthy engine
    And hedging after 200 ms
    When a repeatable caption is asked for, streamed and whole
    Then each caption ends as "complete"
    And the captions took at most 0.6 seconds
    And the first engine's work was cancelled
    And the history of the request path is clean

    Examples:
      | step        | fault |
      | connect     | stall |
      | headers     | stall |
      | first chunk | stall |

  Scenario: A request that may run once is never hedged
    Given an engine that will stall once at the step "headers" and a healthy engine
    And hedging after 200 ms
    When an at-most-once caption is asked for, streamed and whole
    Then each caption ends as "complete"
    And the history of the request path is clean

  Scenario Outline: A caller that leaves <when> stops the engine's work
    Given two healthy engines
    When a caller leaves a caption after <after> seconds
    Then the first engine's work was cancelled
    And the history of the request path is clean

    Examples:
      | when                   | after |
      | before the first chunk | 0.02  |
      | mid-stream             | 0.17  |

  Scenario: A slow caller holds the engine back
    Given two healthy engines
    When a caller that needs 10 seconds for each piece has read 2 pieces
    Then at most 2 chunks were taken from the engine

  Scenario: A slow caller is not taken for a stalled engine
    Given two healthy engines
    When a caller that needs 5 seconds for each piece asks for a caption
    Then each caption ends as "complete"
    And the first engine was not asked to resume
    And the history of the request path is clean

  Scenario: Chunks that have arrived together leave together, each as an event of its own
    Given an engine whose chunks arrive together
    When a repeatable caption is asked for, streamed and whole
    Then each caption ends as "complete"
    And the streamed caption came in 1 parts with 7 events
    And the history of the request path is clean

  Scenario: A key of an at-most-once caption that has run is refused as run
    Given two healthy engines
    When an at-most-once caption is asked for twice with one key
    Then the second caption is refused as "duplicate_request ran"
    And the history of the request path is clean

  Scenario: Each attempt names the run of the engine and the weights that were chosen
    Given an engine that will kill once at the step "mid-stream" and a healthy engine
    When a repeatable caption is asked for, streamed and whole
    Then each caption ends as "complete"
    And every call expected the chosen incarnation and weights
