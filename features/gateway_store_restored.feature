Feature: A store that is restored from a backup loses its latest changes, and the nodes lose nothing

  # Guards against changes that nodes ignore after a restore. A restored store assigns the revisions of
  # its lost changes again. Nodes that ordered changes by revision alone ignored a change unless its
  # revision was above the last known one, and dropped a full read with a lower revision as outdated.
  # New configurations, started back ends and revoked keys had no effect until the store had made as many
  # changes as it had lost, while the nodes considered themselves current. The order is therefore the
  # era, which counts restores, and then the revision. The log shows the fault as no
  # `configuration_taken` after the restore, although `store_regained` and proofs continue.
  Scenario Outline: Changes after the restore take effect as usual
    Given 3 nodes and a store that was backed up
    When <lost> changes later the store is restored from the backup
    And <later> changes later the operator writes configuration 9
    Then each node uses configuration 9 within 2 seconds of the write

    Examples:
      | lost | later |
      | 5    | 0     |
      | 5    | 3     |
      | 5    | 20    |
      | 0    | 0     |

  Scenario: Two restores within seconds
    Given 3 nodes and a store that was backed up
    When 5 changes later the store is restored from the backup
    And 1 second later the store is restored once more
    And 0 changes later the operator writes configuration 9
    Then each node uses configuration 9 within 2 seconds of the write

  Scenario: A configuration that the store lost stays in force
    Given 3 nodes and a store that was backed up
    When the operator writes configuration 5, which revokes an API key, and the store is restored from the backup
    And callers send requests with that key for 6 seconds
    Then none of the requests is served
    And each node uses configuration 5

  # Guards against a key that was taken away and works again (CONFIG): a node that starts as the store is back
  # took the configuration of the backup for current.
  Scenario: A node that starts as the store is back accepts no key until the operator has written again
    Given 3 nodes and a store that was backed up
    When the operator writes configuration 5, which revokes an API key, and the store is restored from the backup
    And a new node starts at once, and gets requests with that key for 2 seconds
    Then none of the requests is served
    When the operator writes configuration 5 again, which has another key
    Then the new node serves that key within 1 second, and refuses the revoked one as unknown

  Scenario: A node that starts as the store is back accepts keys after a time if the operator writes nothing
    Given 3 nodes and a store that was backed up
    When the store is restored from the backup, and a new node starts at once
    Then the new node accepts keys between 5.5 and 7 seconds later

  Scenario: A node that starts later after a restore accepts keys at once
    Given 3 nodes and a store that was backed up
    When the store is restored from the backup, and a new node starts 10 seconds later
    Then the new node accepts keys between 0 and 0.5 seconds later

  Scenario: A node that starts later after a second restore accepts keys at once
    Given 3 nodes and a store that was backed up
    When the store is restored from the backup twice, 10 seconds apart, and a new node starts 10 seconds later
    Then the new node accepts keys between 0 and 0.5 seconds later

  Scenario: A back end that registered after the backup stays in use, and registers again
    Given 3 nodes and a store that was backed up
    When "lm-9" registers, and the store is restored from the backup
    And the back end registers again 1.5 seconds after the restore
    Then after the restore every node has back ends at all times, and "lm-9" is one of them

  Scenario: A back end that registered after the backup and does not register again is removed
    Given 3 nodes and a store that was backed up
    When "lm-9" registers, and the store is restored from the backup
    And callers send requests for 4 seconds
    Then no node has "lm-9" from 2.5 seconds after the restore on

  Scenario: A back end that has announced its leaving is not used again, although the backup has it as ready
    Given 3 nodes and a store that was backed up
    When "lm-1" registers as leaving, and the store is restored from the backup
    And callers send requests for 4 seconds
    Then "lm-1" gets no request after the restore

  Scenario: Nodes keep counting each other while their registrations are lost
    Given 3 nodes and a store that was backed up
    When the store is restored from the backup, which holds no node registrations
    And callers send requests for 8 seconds
    Then each node knows 3 nodes at all times after the restore
    And each node has registered again

  Scenario: Lost registrations stay valid for a while even if another full read follows
    Given 3 nodes and a store that was backed up
    When the store is restored from the backup, which holds no node registrations
    And the store's history is compacted 0.2 and 0.5 seconds later
    And callers send requests for 8 seconds
    Then each node knows 3 nodes at all times after the restore

  Scenario: Orders continue with higher fencing tokens, and only after the earlier orders are settled
    Given 3 nodes and a store that was backed up
    When target version 2 is set and ordered, and the store is restored from the backup
    And target version 3 is set at once
    Then all engines have version 3 within 15 seconds
    And no order has a lower fencing token than the order before it
    And orders of different nodes are at least 3 seconds apart

  Scenario: A node that starts right after the restore sends no orders before the earlier orders are settled
    Given 3 nodes and a store that was backed up
    When target version 2 is set and ordered, and the store is restored from the backup
    And all nodes are cut off from the store, a new node starts, and target version 3 is set at once
    Then orders of different nodes are at least 3 seconds apart

  Scenario: Whatever the backup lacks, no node may send orders before the earlier orders are settled
    Given 3 nodes and a store that was backed up
    When 5 changes later the store is restored from the backup
    And a node keeps asking whether it may send orders
    Then the node first may between 5.5 and 7.5 seconds after the restore, and a node that asks later may at once

  Scenario: A node that starts later sends orders without an extra wait
    Given 3 nodes and a store that was backed up
    When target version 2 is set and ordered, and the store is restored from the backup
    And target version 3 is set at once
    And all nodes are killed, a new node starts, and target version 4 is set at once
    Then the first order of version 4 comes within 5.5 seconds of that
    And no order has a lower fencing token than the order before it

  Scenario Outline: A rollout order that the store lost stays valid for a while
    Given a node that knows an order to roll out "v2"
    When the store is restored from a backup without it
    And <later_s> seconds after the restore <event>
    Then the rollout order <outcome>

    Examples:
      | later_s | event                 | outcome        |
      | 5       | no change has arrived | is still valid |
      | 6.1     | no change has arrived | is withdrawn   |
      | 3       | a full read follows   | is still valid |
      | 6.1     | a full read follows   | is withdrawn   |
      | 3       | it is written again   | is still valid |
      | 7       | it is written again   | is valid again |

  Scenario Outline: A gateway record that the store lost stays valid for a while
    Given a node that knows a gateway record
    When the store is restored from a backup without it
    And <later_s> seconds after the restore <event>
    Then the gateway record <outcome>

    Examples:
      | later_s | event                 | outcome        |
      | 5       | no change has arrived | is still valid |
      | 3       | a full read follows   | is still valid |
      | 6.1     | a full read follows   | is removed     |

  Scenario: A quarantined request stays quarantined, and its record is written again
    Given 3 nodes and a store that was backed up
    When a request is quarantined, and the store is restored from the backup
    And callers send requests for 8 seconds
    Then that request stays quarantined after the restore
    And the store holds the request's quarantine record

  Scenario: Each node logs the restore once
    Given 3 nodes and a store that was backed up
    When 5 changes later the store is restored from the backup
    And callers send requests for 4 seconds
    Then each node logs once that the store was restored

  Scenario Outline: A late answer from before the restore is discarded
    Given a client of a store that was backed up
    When a <call> is sent, the store is restored from the backup, a read reports the restore, and the <call> is answered
    Then the client treats the <call> as unanswered

    Examples:
      | call              |
      | full read         |
      | revision query    |
      | conditional write |

  Scenario Outline: A revision from before the restore is not mistaken for an equal one after it
    Given a client of a store that was backed up
    When a key is written, the store is restored from the backup, and the key gets the same revision again
    And <noticed> the client <does>
    Then <outcome>
    And if the client had noticed the restore, it knows at once and changes nothing in the store

    Examples:
      | noticed                       | does                                        | outcome                           |
      | having noticed the restore,   | changes the key if its revision is the same | the key is unchanged              |
      | without noticing the restore, | changes the key if its revision is the same | the change has an unknown outcome |
      | having noticed the restore,   | watches from its revision                   | the client must do a full read    |
      | without noticing the restore, | watches from its revision                   | the client must do a full read    |
      | having noticed the restore,   | renews its lease                            | the client's lease is lost        |
      | without noticing the restore, | renews its lease                            | the client's lease is lost        |

  Scenario Outline: How the client reads the store's era
    Given a client of a store that was backed up
    When the answers state the era "<era>"
    Then the client <result>

    Examples:
      | era     | result                               |
      | nothing | reads revision 7 unchanged           |
      | 0       | reads revision 7 unchanged           |
      | 1       | reads revision 7 as a later position |
      | -1      | treats the answer as unreadable      |
      | new     | treats the answer as unreadable      |
      | 1e3     | treats the answer as unreadable      |
