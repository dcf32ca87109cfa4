Feature: Datagrams between nodes may be lost, and all waiting datagrams are read at once
  A datagram that cannot be sent must neither raise an error nor delay the sender, and a burst must
  be read in few turns of the event loop.

  Scenario: Waiting datagrams are read in few turns, in order, with their sender
    Given two datagram sockets on loopback
    When the first sends 150 datagrams before the second reads
    Then the second reads them in order within 4 turns, each with the first's address as sender

  Scenario Outline: A datagram that <failure> is lost, and the socket stays usable
    Given two datagram sockets on loopback
    When the first sends a datagram that "<failure>", and then one to the second
    Then the second reads the datagram that was sent to it

    Examples:
      | failure                |
      | has no receiver        |
      | is too large           |
      | has an invalid address |

  Scenario: A full buffer of the receiver does not block the sender
    Given two datagram sockets on loopback
    When the first sends 20000 datagrams of 1000 bytes that are not read
    Then sending took less than 5 seconds

  Scenario: Reading does not wait
    Given two datagram sockets on loopback
    Then the second reads no datagram when none has arrived
