Feature: Connections of callers are bounded as operators configure it

  Scenario: A changed idle timeout closes a caller's unused connection
    Given a node's program whose operators configure an idle timeout of 0.3 s
    When a caller is answered and then leaves its connection unused
    Then the node closes the connection after 0.25 s to 1.8 s

  Scenario: A longer idle timeout holds for connections that are unused already
    Given a node's program whose operators configure an idle timeout of 0.5 s
    When a caller is answered, and 0.2 s later the idle timeout becomes 1.2 s
    Then the node closes the connection after 1.1 s to 1.8 s

  Scenario: A caller whose request head takes too long is told to come again
    Given a node's program whose operators configure a header timeout of 0.3 s
    When a caller sends a part of a request head each 0.1 s
    Then it gets 408 after 0.25 s to 1 s, and the connection is closed

  Scenario Outline: A time that is none leaves the limits as they were
    Given a node's program whose operators configure an idle timeout of <seconds> s
    When a caller is answered and then leaves its connection unused
    Then the node keeps the connection open

    Examples:
      | seconds |
      | 0       |
      | -3      |
