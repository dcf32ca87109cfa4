Feature: Concurrent use of the sockets between nodes

  Guards against datagrams that are lost when several tasks send on the same UDP socket at once.

  Scenario: Datagrams that tasks cast concurrently all arrive
    Given a UDP and HTTP network on a loopback port
    When 20 tasks cast to the network concurrently
    Then the network receives 20 different datagrams
