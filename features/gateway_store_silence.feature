Feature: A silence of the store counts as its outage only if it was silent for all nodes

  Scenario Outline: Whose silence counts as an outage of the store
    Given a node that knows of <others> others
    When it learns "<answers>"
    Then at <now> s the last outage has ended at "<ended>"

    Examples: when what was learnt; answers "last<first-last", with what came before a silence; "@": when asked
      | others | answers                                               | now  | ended |
      | 0      | 0 own 0, 1 own 1                                      | 2.9  | never |
      | 0      | 0 own 0, 1 own 1                                      | 5    | 5     |
      | 0      | 0 own 0, 1 own 1, 7 own 7                             | 7    | 7     |
      | 0      | 0 own 0, 1 own 1, 7 own 7, 14 own 14                  | 14   | 14    |
      | 2      | 0 own 0, 1 own 1, 7 own 7                             | 7.5  | never |
      | 2      | 0 own 0, 1 own 1, 7 own 7                             | 16   | never |
      | 2      | 0 own 0, 1 own 1, 7 own 7, 7.1 a 0-7                  | 7.2  | never |
      | 6      | 1 own 1, 7 own 7, 7.1 a 0-7, 7.1 b 0-7                | 9    | never |
      | 6      | 1 own 1, 7 own 7, 7.1 a 1<7-7, 7.1 b 0-7              | 9    | never |
      | 6      | 1 own 1, 7 own 7, 7.1 b 0-7, 7.1 a 1<7-7, 7.1 c 1<7-7 | 9    | never |
      | 6      | 1 own 1, 7 own 7, 7.1 a 1<6.8-7                       | 7.2  | never |
      | 6      | 1 own 1, 7 own 7, 7.1 a 1<6.8-7, 7.1 b 1.2<6.9-7      | 7.2  | 6.8   |
      | 6      | 1 own 1, 7 own 7, 7.1 a 0-5.5, 7.1 b 1<7-7            | 7.2  | never |
      | 6      | 1 own 1, 4 a 0-1.8, 4 b 0-1.4                         | 5    | 5     |
      | 6      | 1 own 1, 4 a 0-1.8, 4 b 0-1.4, 7 own 7                | 7    | 7     |
      | 6      | 1 own 1, 4 a 0-4, 4 b 0-4, 5 own 5                    | 5    | never |
      | 1      | 1 own 1, 7 own 7, 7.1 a 1<6.9-7                       | 7.2  | 6.9   |

    Examples: nodes that cannot know, for they started during the silence
      | others | answers                                               | now  | ended |
      | 6      | 1 own 1, 7 own 7, 7.1 a 6.8-7, 7.1 b 6.9-7            | 9    | never |

    Examples: answers that were asked for before the silence was noticed
      | others | answers                                               | now  | ended |
      | 6      | 1 own 1, 7 a 0-1@1, 7 b 0-0.9@1                       | 7    | never |
      | 6      | 1 own 1, 7 own 7, 7.1 a 1<7-7@1, 7.1 b 1<7-7@1        | 7.2  | never |

    Examples: a second silence before anybody was heard on the first, or after two had agreed on it
      | others | answers                                               | now  | ended |
      | 6      | 1 own 1, 7 own 7, 11 own 11, 11.1 a 0-11, 11.1 b 0-11 | 11.2 | never |
      | 6      | 1 own 1, 7 own 7, 7.1 a 1<7-7, 7.1 b 1<7-7, 12 own 12 | 12   | 7     |
      | 6      | 1 own 1, 4 a 0-1, 4 b 0-1, 7 own 7, 11 own 11         | 11   | 7     |

    Examples: time in which the node itself stood still
      | others | answers                                               | now  | ended |
      | 0      | 1 own 1, 1 still 7, 7 own 7                           | 7    | never |
      | 0      | 1 own 1, 1 still 7                                    | 8.5  | never |
      | 6      | 1 own 1, 1 still 7, 7 own 7, 7.1 a 1<7-7, 7.1 b 1<7-7 | 7.2  | never |

  Scenario: A node that was cut off from the store and the others tells that the silence was its own
    Given 3 nodes and 2 runners
    When the store and the others are out of reach for "node-1" for 4 seconds
    And 3 seconds pass
    Then node-1 tells the silence to be "own"

  Scenario Outline: A node tells whose silence it was when it heard nothing of the store
    Given 3 nodes and 2 runners
    When "<still>" stand still for <still_s> seconds
    And 1 seconds later the store is out of reach for "<cut>" for <cut_s> seconds
    And 14 seconds pass
    Then node-1 tells the silence to be "<whose>"

    Examples:
      | still  | still_s | cut                  | cut_s | whose |
      | node-1 | 4       |                      | 1     |       |
      |        | 0       | node-1,node-2,node-3 | 5     | store |
      |        | 0       | node-1,node-2        | 5     |       |

  # Two of three nodes lost the store; the third had just given its own reading up for that of one of
  # them, and looked at the store again an interval later: 2.08 s without a proof at any node, which
  # all three took for an outage of the store. Found when a new task changed the order of the nodes'
  # steps, in 5 of 30 seeds (2 of 30 before).
  Scenario: A node whose reader loses the store proves it before it counts as silent
    Given 3 nodes and 2 runners
    When 1 seconds later the store is out of reach for "node-1,node-2" for 5 seconds
    And 14 seconds pass
    Then node-1 tells the silence to be "" with each seed from 1 to 30

  # A back end whose registration ended was used for 1.7 s more, since this node had just failed to
  # reach the store: the registration might have lapsed with it. The store had answered all others.
  # Found by looking for the incident's cause elsewhere, not seen by users.
  Scenario Outline: A registration that ends after <whose> silence of the store gets <what>
    Given 3 nodes and 2 runners
    When the store is out of reach for "<cut>" for <cut_s> seconds and a runner's registration ends
    And generations are sent for 1 seconds
    Then the runner gets <what>

    Examples:
      | whose | cut                  | cut_s | what         |
      | own   | node-1               | 1.5   | none of them |
      | own   | node-1,node-2        | 1.5   | none of them |
      | all   | node-1,node-2,node-3 | 4     | some of them |
