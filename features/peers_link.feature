Feature: Authenticated messages between nodes

  Guards against forged, altered or replayed datagrams that are delivered, against messages that are
  delivered twice or lost while keys rotate, and against a codec that raises on arbitrary bytes.

  Scenario: Casts and calls are delivered as typed messages with the sender's address
    Given two linked nodes
    When node A casts "hello" and calls "question" to node B
    Then node B's casts from node A are "hello"
    And node A has the reply "question answered"

  Scenario Outline: Hostile datagrams change nothing
    Given two linked nodes
    And node A has cast "first" to node B over a recorded network
    When an attacker sends to node B <datagram>
    Then node B's casts from node A are "first"
    And node B has counted a rejection "<kind>"

    Examples:
      | datagram                               | kind            |
      | the recorded cast again                | replayed        |
      | the recorded cast with a flipped bit   | bad_mac         |
      | a cast signed with another key         | bad_mac         |
      | a cast with an unknown key id          | unknown_key     |
      | an empty datagram                      | too_short       |
      | random bytes under a known key id      | bad_mac         |
      | a signed envelope that is not CBOR     | malformed       |
      | a signed envelope of the wrong shape   | malformed       |
      | a signed cast of an unknown type       | unknown_tag     |
      | a signed cast with a field too few     | wrong_shape     |
      | a cast that was sent to node A         | bad_mac         |
      | a cast of an earlier run of node A     | stale_incarnation |

  Scenario: Datagrams recorded before a restart cannot be replayed to the new run
    Given two linked nodes
    And node A has cast "first" to node B over a recorded network
    When node B restarts and an attacker replays all recorded datagrams to it while node A is absent
    Then node B's casts from node A are none

  Scenario: A call that arrives again after its answer does not run again
    Given two linked nodes
    When node A calls "question" to node B and the call arrives twice
    Then node B has run the call 1 time

  Scenario: A busy sender is not challenged again for each cast
    Given two linked nodes
    When node A casts 64 messages at once to node B
    Then node B has sent at most 7 challenges

  Scenario: Concurrent calls to a new run of a node are all answered
    Given two linked nodes over a link with heavy reordering
    When node A sends 40 concurrent calls to a new run of node B
    Then all 40 calls are answered and each was handled once

  Scenario: Key rotation loses no message
    Given two linked nodes
    When the keys change from old to new on one node at a time, with a cast in each direction at each step
    Then every cast has arrived
    And casts signed with the old key alone are rejected

  Scenario Outline: Casts over a poor link arrive at most once
    Given two linked nodes over a link with <fault>
    When node A casts 200 numbered messages to node B
    Then node B has received each at most once and at least <least> of them

    Examples:
      | fault                        | least |
      | every datagram duplicated    | 200   |
      | heavy reordering             | 200   |
      | a third of datagrams dropped | 100   |

  Scenario: The codec returns a message or a typed failure for any bytes
    When arbitrary bytes and mutated messages are decoded
    Then the codec raised no exception

  Scenario: The real network carries casts and calls over loopback
    Given two nodes connected by UDP and HTTP on loopback
    When they exchange a cast and a call of 100000 bytes in each direction
    Then the real network delivered both in each direction
    And a call to a closed port was provably not sent
