Feature: A planned stop of a node
  Scenario: A node without a configuration ends the request that waits for one
    Given a node alone whose key-value service is down
    When its planned stop begins while a request waits for the first configuration
    Then the request has its whole answer "not_configured" and the stop was clean
