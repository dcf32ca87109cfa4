Feature: Callers can use HTTP/1.1 and HTTP/2

  Guards against answers that are truncated or mixed up when callers send requests concurrently over
  either protocol.

  Scenario Outline: Answers are complete over either protocol
    Given the request path served on loopback
    When 6 callers concurrently request <kind> answers over <protocol>
    Then each caller has status 200 over <protocol> and its own complete <kind> answer

    Examples:
      | protocol | kind         |
      | HTTP/1.1 | streamed     |
      | HTTP/1.1 | non-streamed |
      | HTTP/2   | streamed     |
      | HTTP/2   | non-streamed |
