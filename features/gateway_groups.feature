Feature: Groups of nodes, which keep a node's received gossip independent of the size of the fleet

  If every node sends gossip to every other node, a node receives 200 and more messages a second from 79
  nodes on. Hence nodes divide themselves into groups whose heads exchange sums. Loads must still be
  complete on every node, counted once, and known again soon after a head has failed.

  Scenario Outline: Nodes divide themselves into small groups, identically on every node
    Given <nodes> nodes in <zones> zones
    Then there are between <least> and <most> groups
    And every order of the nodes gives the same division
    And no group has more than <members> members
    And each group is in a single zone if there are several groups

    Examples:
      | nodes | zones | least | most | members |
      | 1     | 1     | 1     | 1    | 12      |
      | 8     | 4     | 1     | 1    | 12      |
      | 12    | 3     | 1     | 1    | 12      |
      | 13    | 3     | 3     | 3    | 12      |
      | 69    | 4     | 8     | 8    | 18      |
      | 195   | 5     | 20    | 20   | 18      |
      | 400   | 18    | 30    | 40   | 22      |

  Scenario: The members with the highest capacity head their groups
    Given 60 nodes in 3 zones, every third of them weak
    Then the first head of each group is not a weak node

  Scenario: The nodes with the highest capacity read the store for the others
    Given 60 nodes in 3 zones, every third of them weak
    Then no weak node reads the store, and there are 2 readers

  Scenario Outline: A node receives few messages, however many nodes there are
    Given <nodes> nodes in <zones> zones
    When each node sends gossip as often as allowed
    Then a node that is not a head receives at most <member> messages a second
    And a head receives at most <head> messages a second

    Examples: without groups, a node receives 200 and more messages a second from 79 nodes on
      | nodes | zones | member | head |
      | 30    | 3     | 115    | 135  |
      | 100   | 4     | 45     | 90   |
      | 195   | 5     | 55     | 115  |
      | 400   | 18    | 75     | 190  |

  Scenario: Every node learns the load of the whole fleet, counted once
    Given a running fleet of 30 nodes in 3 zones
    When each node has 2 requests at one runner
    Then within 1.0 seconds every node counts 60 requests at that runner
    And within 1.0 seconds after their end every node counts 0 requests

  Scenario Outline: Loads are known again soon after the heads have the fault "<fault>"
    Given a running fleet of 30 nodes in 3 zones
    When every head has the fault "<fault>" and each other node has 1 request at one runner
    Then within 3.5 seconds every node that was not a head counts the requests of all such nodes

    Examples: a silent head is detected after 1.5 seconds; a dead node's registration expires later
      | fault  |
      | none   |
      | killed |
      | silent |

  Scenario: Prompt blocks that a runner has read are known in other groups
    Given a running fleet of 30 nodes in 3 zones
    When one node reports that a runner has read a prompt
    Then within 1.0 seconds every node's cache index has the prompt's shared blocks at the runner

  Scenario: A runner that is about to load weights is announced to all nodes at once
    Given a running fleet of 30 nodes in 3 zones
    When one node announces that a runner loads weights
    Then within 0.05 seconds every node avoids the runner

  Scenario: A runner that one node cannot reach is soon suspected by all nodes
    Given a running fleet of 30 nodes in 3 zones
    When one node cannot reach a runner
    Then within 1.0 seconds every node suspects the runner

  Scenario Outline: A head can send while registrations change
    Given a head in a fleet of 30 nodes in 3 zones with gossip for all nodes
    When a node of its own group <changes> while it sends to the other heads
    Then the head sends its gossip to its whole group

    Examples:
      | changes   |
      | registers |
      | leaves    |

  Scenario: A load that is not reported again expires
    Given the loads of back ends
    When source "a" reports 3 requests at second 10 and source "b" 2 requests at second 11
    Then the load is 5 requests at second 11.2
    And the load is 2 requests at second 11.8
    And the load is 0 requests at second 13.0
