Feature: Nodes send datagrams that may be lost, and read all that wait at once

  Scenario: Everything that waits is read in few turns, in order, with its sender
    Given two datagram sockets on loopback
    When the first sends 150 datagrams before the second reads
    Then the second reads them in order within 4 turns, each from the first's address

  Scenario Outline: A datagram that <cannot> is lost, and the socket goes on
    Given two datagram sockets on loopback
    When the first sends one that "<cannot>", and then one to the second
    Then the second reads that one

    Examples:
      | cannot                |
      | reaches nobody        |
      | is too large          |
      | has an address that is none |

  Scenario: A full buffer of the receiver holds nobody up
    Given two datagram sockets on loopback
    When the first sends 20000 datagrams of 1000 bytes that nobody reads
    Then the sending took less than 5 seconds

  Scenario: Reading waits for nothing
    Given two datagram sockets on loopback
    Then a second that reads when nothing has arrived reads nothing
