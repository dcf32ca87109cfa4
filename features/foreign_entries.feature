Feature: An entry that another writer has put in place of a registration names no back end, and affects nothing else

  # Guards against a back end that is used although another writer has overwritten its entry, and against
  # one that is used with values that its entry does not state.
  # Cause: an unreadable entry was only logged, so the last valid state stayed in effect. An unknown
  # state counted as leaving, and missing values got defaults.
  Scenario Outline: A foreign entry is rejected as a whole, and the other entries stay valid
    Given a node that knows back ends "A" and "B"
    When the entry of "A" is overwritten with <field> as <value>
    Then the node uses only "B", and logs once that the entry of "A" is unreadable
    When the entry of "A" is written as it was
    Then the node uses "A" and "B"

    Examples:
      | field           | value                   |
      | service         | nothing                 |
      | service         | ""                      |
      | service         | 5                       |
      | address         | nothing                 |
      | address         | "here"                  |
      | address         | "10.3.0.1"              |
      | address         | "10.3.0.1:99999"        |
      | address         | "10.3.0.1:-1"           |
      | address         | "host.example:80"       |
      | address         | "[::1:8080"             |
      | address         | "[::1]]:8080"           |
      | address         | "[[::1]:8080"           |
      | address         | "[]::1:8080"            |
      | address         | "::1:8080"              |
      | address         | "127.0.0.1]:8080"       |
      | address         | "]127.0.0.1[:8080"      |
      | address         | "[127.0.0.1]:8080"      |
      | address         | "[fe80::1%lo]:8080"     |
      | address         | "0.0.0.0:8080"          |
      | address         | "224.0.0.1:8080"        |
      | address         | "10.3.0.1 :8080"        |
      | models          | [{"name": "m", "version": -1}] |
      | models          | [{"name": "m", "version": 100000000000000000000000000000}] |
      | zone            | nothing                 |
      | version         | nothing                 |
      | version         | 5                       |
      | slots           | nothing                 |
      | slots           | 0                       |
      | slots           | -5                      |
      | slots           | 1.5                     |
      | slots           | "4"                     |
      | state           | nothing                 |
      | state           | "resting"               |
      | state           | true                    |
      | models          | 7                       |
      | born            | "1700000000000"         |
      | born            | -1                      |
      | born            | true                    |
      | the whole entry | bytes that are not text |
      | the whole entry | null                    |
      | the whole entry | NaN                     |
      | the whole entry | deep nesting            |
      | the whole entry | a million letters       |
      | the whole entry | a huge number           |

  Scenario Outline: A foreign entry is rejected however it is first read
    Given a node that knows back ends "A" and "B"
    When the entry of "A" is foreign, read <how>
    Then the node uses only "B", and logs once that the entry of "A" is unreadable

    Examples:
      | how                      |
      | by a watch               |
      | in a full read           |
      | from another node        |
      | at the start of the node |

  # Guards against a process that ends, or waits for a name server, as it sends its gossip: a registration of
  # a node was taken as it stood, so a port or a host that no socket takes raised an error of no OSError.
  Scenario Outline: The registration of a node states <host> and <port>
    Given a node that knows another node's registration
    When another writer overwrites it with the host <host>, the port <port> and the capacity <capacity>
    Then the node sends gossip to the addresses that it knows, and no error is raised
    And it knows no other node

    Examples:
      | host           | port    | capacity |
      | "10.1.0.2"     | 0       | 1        |
      | "10.1.0.2"     | -1      | 1        |
      | "10.1.0.2"     | 99999   | 1        |
      | "10.1.0.2"     | 18446744073709551616 | 1 |
      | "10.1.0.2"     | 7000    | -1       |
      | ""             | 7000    | 1        |
      | "host.example" | 7000    | 1        |
      | "10.1.0.2\u0000" | 7000 | 1        |
      | "[::1]"        | 7000    | 1        |
      | "::1"          | 7000    | 1        |
      | "0.0.0.0"      | 7000    | 1        |
      | "010.1.0.2"    | 7000    | 1        |

  Scenario: Ten thousand foreign entries beside valid ones
    Given a node that knows back ends "A" and "B"
    When 10000 foreign entries are read in a full read
    Then the node uses "A" and "B"

  Scenario: No bytes make a read fail
    Given any bytes, and valid entries with any field changed, omitted or duplicated
    Then each is read as an entry or rejected as unreadable, and nothing else happens

  # Guards against an entry of another writer that ends the process of the node which gives orders, again
  # and again, so that no engine gets new weights (VERSION).
  # Cause: an address with a missing bracket was accepted, and calling its back end raised an error that is
  # no failure of a call. The same holds for an instance whose name cannot be sent in a header.
  Scenario: Calls to a back end with any entry that is accepted fail only as calls without an answer
    Given entries with any address, instance name, versions and health path
    When each kind of call is sent to the back end of each entry that is accepted
    Then every call ends without an answer, and no other error is raised

  Scenario Outline: An entry whose key is <key> names no back end
    When an entry is read under the key <key>
    Then it is rejected as unreadable

    Examples:
      | key              |
      | "servers/"       |
      | "servers/i 1"    |
      | "servers/i-é"    |
      | "servers/i\n1"   |
      | "servers/i\u0000" |

  Scenario Outline: Back ends are known by one address, however it is written: <written>
    When the address <written> is read
    Then the back end's address is <address>

    Examples:
      | written                    | address          |
      | 10.3.0.1:8080              | 10.3.0.1:8080    |
      | 10.3.0.1:08080             | 10.3.0.1:8080    |
      | [::1]:8080                 | [::1]:8080       |
      | [0:0:0:0:0:0:0:1]:8080     | [::1]:8080       |
      | [2001:DB8::A]:8080         | [2001:db8::a]:8080 |
      | [::ffff:10.3.0.1]:8080     | 10.3.0.1:8080    |
