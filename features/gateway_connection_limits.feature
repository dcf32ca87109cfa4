Feature: Timeouts of callers' connections follow the operators' configuration
  Callers that keep connections idle, or send a request head slowly, would occupy the node's
  connections indefinitely. The limits are part of the configuration in the store, and may change
  while connections are open.

  Scenario: A configured idle timeout closes a caller's idle connection
    Given a program of a node with a configured idle timeout of 0.3 s
    When a caller is answered and then leaves its connection idle
    Then the node closes the connection after 0.25 s to 1.8 s

  Scenario: A longer idle timeout applies to connections that are already idle
    Given a program of a node with a configured idle timeout of 0.5 s
    When a caller is answered, and 0.2 s later the idle timeout becomes 1.2 s
    Then the node closes the connection after 1.1 s to 1.8 s

  Scenario: A caller that sends its request head too slowly gets 408
    Given a program of a node with a configured header timeout of 0.3 s
    When a caller sends one byte of a request head every 0.1 s
    Then the caller gets 408 after 0.25 s to 1 s, and the connection is closed

  Scenario Outline: A timeout that is not positive leaves the limits unchanged
    Given a program of a node with a configured idle timeout of <seconds> s
    When a caller is answered and then leaves its connection idle
    Then the node keeps the connection open

    Examples:
      | seconds |
      | 0       |
      | -3      |
