Feature: A configuration takes effect on every node and never goes back
  Guards against nodes that stay on an old configuration, return to one, or use one that was never
  accepted, when the store, links or nodes fail; and against a herd of reads of the store.

  Scenario Outline: A fleet under one fault
    Given a fleet of <nodes> nodes in <zones> zones
    When 6 changes are applied over a minute under "<faults>"
    Then every change accepted is in force on every node within <within> s
    And no node ever goes back, and no node has a configuration that was not accepted

    Examples:
      | nodes | zones | faults                            | within |
      | 3     | 3     | no fault                          | 1      |
      | 12    | 4     | no fault                          | 3      |
      | 12    | 4     | a fifth of casts and calls lost   | 10     |
      | 12    | 4     | slow and reordering links         | 10     |
      | 12    | 4     | a store slowed to a second a call | 10     |
      | 12    | 4     | a store limited to 5 calls a second | 10   |
      | 12    | 4     | outages of the store              | 10     |
      | 12    | 4     | half of the store's answers lost  | 10     |
      | 12    | 4     | watches cut every second          | 10     |
      | 12    | 4     | restarts of a third of the nodes  | 10     |
      | 12    | 4     | half of the nodes cut off from the store | 10 |

  Scenario: All faults at once, with racing operators
    When fleets run for two minutes under all faults at once, for seeds 1 and 2
    Then no answer to an operator was wrong, no node went back, and none had an unaccepted configuration
    And a last change was in force within 10 s, with enough files accepted, files refused and restarts

  Scenario Outline: A node restarts while the store is down
    Given a fleet of <nodes> nodes in 3 zones with a configuration in force
    When the store goes down and one node restarts with <peers>
    Then the node has the highest configuration of them within <within> s

    Examples:
      | nodes | peers                              | within |
      | 9     | all peers up                       | 0.5    |
      | 9     | one of three peers behind          | 0.5    |
      | 9     | two of three peers paused          | 1.5    |

  Scenario: A node requests a configuration as soon as it has joined
    When nodes of 20 seeds join 0.1 s after they start
    Then each asks a peer for its revision within 0.03 s of joining

  Scenario: A whole deployment restarts while the store is down for long, then returns
    Given a fleet of 12 nodes in 4 zones with a configuration in force
    When all nodes restart with the store down and it returns after a minute
    Then no node acts on any configuration before, and all have it within 10 s after
    And meanwhile the store got at most 5 calls a second, and only 2 nodes of a zone read it

  Scenario: A whole deployment restarts at once while the store is up
    Given a fleet of 12 nodes in 4 zones with a configuration in force
    When all nodes restart at once with the store up
    Then all have the configuration within 2 s after 16 calls of the store at most

  Scenario: A zone cut off from the store and the others catches up after the cut
    Given a fleet of 12 nodes in 4 zones with a configuration in force
    When zone-0 is cut off, a change is applied, and the cut heals after 60 s
    Then the cut-off nodes kept the old configuration and have the new one within 10 s of healing

  Scenario: Status lists the nodes that lag and the reason for each
    Given a fleet of 9 nodes in 3 zones with a configuration in force
    When one node is paused and one cannot fetch while a change is applied
    Then status lists only these two as lagging, with "no answer" and "not fetched"

  Scenario: A configuration change costs a node little traffic
    Given a fleet of 12 nodes in 4 zones with a configuration in force
    When a minute passes without a change
    Then each node has sent at most 150 bytes a second for the configuration
    And 8 changes of a deployment of the design size cost it at most 2000 bytes each

  Scenario: A reply that does not yield the announced content is refused
    When a peer's delta is damaged, has a forgotten base, or has another digest
    Then each is refused with a reason and nothing changes
