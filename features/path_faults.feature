Feature: A caller gets the complete answer, once and in order, whatever fault an engine has

  Guards against answers with lost, repeated, reordered or foreign chunks, against a second run of a
  request that may run at most once, and against a wrong run status in an error.
  Faults of the scripted engine: "kill" ends the process, "stall" sends nothing more, "cross" sends a
  chunk of another request, "duplicate" sends a chunk twice, "cut" ends the stream without its last
  chunk, "reset" breaks the connection, "skip" omits a chunk, "busy", "mismatch" and "invalid" refuse
  the request.

  Scenario Outline: One engine has the fault "<fault>" at <step>, <kind> generation request
    Given an engine with the fault "<fault>" once at the step "<step>" and a healthy engine
    When <kind> generation request is sent, streamed and non-streamed
    Then each generation request ends as "<outcome>"
    And the request path kept its guarantees

    Examples: the step at which the engine fails, the fault, and what the caller gets
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

  Scenario Outline: Every engine has the fault "<fault>" each time at <step>, <kind> generation request
    Given two engines with the fault "<fault>" each time at the step "<step>"
    When <kind> generation request is sent, streamed and non-streamed
    Then each generation request ends as "<outcome>"
    And the request path kept its guarantees

    Examples: no engine can serve, and the error states whether the request provably ran or did not run
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

  Scenario: An answer is never continued by an engine with another weight version
    Given an engine with the fault "kill" once at the step "mid-stream" and a healthy engine
    And the healthy engine serves another weight version
    When a repeatable generation request is sent, streamed and non-streamed
    Then each generation request ends as "stream_broken ran"
    And the request path kept its guarantees

  Scenario: An exhausted retry budget ends retries
    Given an engine with the fault "kill" once at the step "connect" and a healthy engine
    And a retry budget of zero
    When a repeatable generation request is sent, streamed and non-streamed
    Then each generation request ends as "backend_failed not_run"
    And the request path kept its guarantees

  Scenario: A request that reaches its deadline ends with the run status known by then
    Given two engines with the fault "stall" each time at the step "headers"
    When a generation request with a deadline of 2000 ms is sent
    Then each generation request ends as "deadline_exceeded unknown"
    And the generation requests took at most 2.1 seconds
    And the request path kept its guarantees

  Scenario Outline: A hedged attempt answers when the first engine has the fault "<fault>" at <step>
    Given an engine with the fault "<fault>" once at the step "<step>" and a healthy engine
    And hedging after 200 ms
    When a repeatable generation request is sent, streamed and non-streamed
    Then each generation request ends as "complete"
    And the generation requests took at most 0.6 seconds
    And the first engine's work was cancelled
    And the request path kept its guarantees

    Examples:
      | step        | fault |
      | connect     | stall |
      | headers     | stall |
      | first chunk | stall |

  Scenario: A request that may run at most once is never hedged
    Given an engine with the fault "stall" once at the step "headers" and a healthy engine
    And hedging after 200 ms
    When an at-most-once generation request is sent, streamed and non-streamed
    Then each generation request ends as "complete"
    And the request path kept its guarantees

  Scenario Outline: The engine's work is cancelled when the caller disconnects <when>
    Given two healthy engines
    When the caller of a generation request disconnects after <after> seconds
    Then the first engine's work was cancelled
    And the request path kept its guarantees

    Examples:
      | when                   | after |
      | before the first chunk | 0.02  |
      | mid-stream             | 0.17  |

  Scenario: Back-pressure from a slow caller reaches the engine
    Given two healthy engines
    When a caller that needs 10 seconds to read each part has read 2 parts
    Then at most 2 chunks were read from the engine

  Scenario: A slow caller is not mistaken for a stalled engine
    Given two healthy engines
    When a caller that needs 5 seconds to read each part sends a generation request
    Then each generation request ends as "complete"
    And the first engine was not asked to resume
    And the request path kept its guarantees

  Scenario: Chunks that arrived together are forwarded together, each as its own event
    Given an engine whose chunks arrive together
    When a repeatable generation request is sent, streamed and non-streamed
    Then each generation request ends as "complete"
    And the streamed answer arrived in 1 parts with 7 events
    And the request path kept its guarantees

  Scenario: The idempotency key of an at-most-once request that ran is refused with the status "ran"
    Given two healthy engines
    When an at-most-once generation request is sent twice with the same idempotency key
    Then the second generation request is refused as "duplicate_request ran"
    And the request path kept its guarantees

  Scenario: Each attempt states the engine's incarnation and the weight version that were chosen
    Given an engine with the fault "kill" once at the step "mid-stream" and a healthy engine
    When a repeatable generation request is sent, streamed and non-streamed
    Then each generation request ends as "complete"
    And every call expected the chosen incarnation and weight version
