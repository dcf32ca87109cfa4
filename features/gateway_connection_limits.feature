Feature: Connections of callers are bounded as operators configure it

  Scenario: A changed idle timeout closes a caller's unused connection
    Given a node's program whose operators configure an idle timeout of 0.3 s
    When a caller is answered and then leaves its connection unused
    Then the node closes the connection after 0.25 s to 1.8 s
