Feature: A planned stop of a node

  Guards against a drain that abandons a request without an answer, or waits without end, while the
  request waits for the node's first configuration.

  Scenario: A node without a configuration answers a waiting request before it stops
    Given a single node whose key-value service is down
    When its planned stop begins while a request waits for the first configuration
    Then the request has the complete answer "not_configured" and the stop was clean
