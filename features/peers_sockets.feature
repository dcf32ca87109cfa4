Feature: Sockets between nodes have one owner
  Scenario: Tasks that cast at the same moment all get through
    Given a UDP and HTTP network on a loopback port
    When 20 tasks cast to it at the same moment
    Then it receives 20 different datagrams
