Feature: Callers reach a node by HTTP/1.1 and by HTTP/2
  Scenario Outline: Answers are whole by either protocol
    Given the request path served on loopback
    When 6 callers ask at once by <protocol> for <kind> answers
    Then each has status 200 by <protocol> and a whole <kind> answer of its own

    Examples:
      | protocol | kind     |
      | HTTP/1.1 | streamed |
      | HTTP/1.1 | whole    |
      | HTTP/2   | streamed |
      | HTTP/2   | whole    |
