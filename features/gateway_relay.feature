Feature: A few nodes read the store for all, and no node relies on a state whose proof is too old
  Guards against changes that nodes miss or get late when the readers fail, and against a proof that
  says more than the reader knew, so that a node would serve from stale state.

  Scenario: Only a few nodes query the store
    Given a fleet of 8 nodes
    When it runs for 10 seconds while a registration is added each second
    Then at most 3 nodes have queried the store for changes in the last 5 seconds
    And every node has the latest registrations

  Scenario Outline: A change is in force at all nodes in time when the readers have the fault "<fault>"
    Given a fleet of 8 nodes
    When every reader has the fault "<fault>" and configuration 4 is written <delay> seconds later
    Then within <seconds> seconds every node that is neither killed nor partitioned has configuration 4

    Examples: the deployments state a bound of 2 seconds
      | fault                | delay | seconds |
      | none                 | 0     | 0.2     |
      | killed               | 0     | 1.8     |
      | killed               | 0.3   | 1.8     |
      | partitioned          | 0     | 1.8     |
      | partitioned          | 0.5   | 1.8     |
      | partitioned          | 1.0   | 1.8     |
      | datagrams lost       | 0     | 1.8     |
      | datagrams lost       | 0.7   | 1.8     |
      | watch without events | 0     | 1.8     |
      | compacted history    | 0     | 1.8     |

  Scenario: A configuration too large for a datagram is read from the store by each node
    Given a fleet of 8 nodes
    When a configuration of 400 routes is written
    Then within 0.8 seconds every node has it

  Scenario Outline: No node accepts a removed API key when the readers have the fault "<fault>"
    Given a fleet of 8 nodes with a tenant
    When every reader has the fault "<fault>" and the tenant's key is removed 0.2 seconds later
    Then no node accepts the key after 2 seconds

    Examples:
      | fault          |
      | none           |
      | killed         |
      | partitioned    |
      | datagrams lost |

  Scenario Outline: A reply proves the state as of the query, less the age of the reader's own proof
    Given a node that queried a reader at second 10
    When the reply arrives at second <arrives> and states a proof that is <age> seconds old
    Then the node's state is proved as of second <proved>

    Examples:
      | arrives | age | proved |
      | 10.01   | 0.0 | 10.0   |
      | 10.5    | 0.3 | 9.7    |
      | 14.0    | 0.1 | 9.9    |

  Scenario Outline: A reply that is unsolicited, for another query or incomplete proves nothing
    Given a node that queried a reader at second 10
    When a reply "<kind>" arrives
    Then the node's state is not proved
    And the node <reads> the store

    Examples:
      | kind               | reads           |
      | unsolicited        | need not read   |
      | for another query  | need not read   |
      | with a gap         | has to read     |
      | without changes    | has to read     |

  Scenario Outline: The change log returns all changes after a revision, or reports that some may be missing
    Given a change log that began at revision 10 and recorded the changes "<changes>"
    Then the changes after revision <revision> are "<expected>"

    Examples: changes as key@revision
      | changes             | revision | expected  |
      | a@11 b@12 c@13      | 11       | b@12 c@13 |
      | a@11 b@12 a@13      | 10       | b@12 a@13 |
      | a@11 b@12 a@13      | 12       | a@13      |
      | a@11 b@12           | 12       | nothing   |
      | a@11 b@12           | 9        | unknown   |

  Scenario: Nodes with the same list of members choose the same readers, whatever its order
    Given 400 node names
    Then their reverse order gives the same 9 readers
    And without a node that is not a reader the readers are the same

  Scenario: No value is older than its proof when messages are lost, delayed, repeated or reordered
    Given 1500 random histories of a store, a reader and a node that queries the reader
    Then the node never has a value that is older than its proof
    And in most histories the node's state was proved by the reader
