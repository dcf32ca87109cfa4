Feature: A silence of the store counts as an outage only if the store answered no node

  # Each record is "time source answer" in seconds. The source "own" means that the store answered this
  # node at that time, and "paused" that this node was paused until that time. Any other source is another
  # node, with its span "first-last" of answers from the store. "last<" before the span is the last answer
  # before a silence; "@time" after it is the time of the query, if that is not the time of the record.

  Scenario Outline: Which silences count as an outage of the store
    Given a node that knows <others> other nodes
    When the node records "<records>"
    Then at <now> s the last outage ended at "<ended>"

    Examples: records, time of the check, and end of the last outage at that time
      | others | records                                               | now | ended |
      | 0      | 0 own 0, 1 own 1                                      | 2.9 | never |
      | 0      | 0 own 0, 1 own 1                                      | 5   | 5     |
      | 0      | 0 own 0, 1 own 1, 7 own 7                             | 7   | 7     |
      | 0      | 0 own 0, 1 own 1, 7 own 7, 14 own 14                  | 14  | 14    |
      | 2      | 0 own 0, 1 own 1, 7 own 7                             | 7.5 | never |
      | 2      | 0 own 0, 1 own 1, 7 own 7                             | 16  | never |
      | 2      | 0 own 0, 1 own 1, 7 own 7, 7.1 a 0-7                  | 7.2 | never |
      | 6      | 1 own 1, 7 own 7, 7.1 a 0-7, 7.1 b 0-7                | 9   | never |
      | 6      | 1 own 1, 7 own 7, 7.1 a 1<7-7, 7.1 b 0-7              | 9   | never |
      | 6      | 1 own 1, 7 own 7, 7.1 b 0-7, 7.1 a 1<7-7, 7.1 c 1<7-7 | 9   | never |
      | 6      | 1 own 1, 7 own 7, 7.1 a 1<6.8-7                       | 7.2 | never |
      | 6      | 1 own 1, 7 own 7, 7.1 a 1<6.8-7, 7.1 b 1.2<6.9-7      | 7.2 | 6.8   |
      | 6      | 1 own 1, 7 own 7, 7.1 a 0-5.5, 7.1 b 1<7-7            | 7.2 | never |
      | 6      | 1 own 1, 4 a 0-1.8, 4 b 0-1.4                         | 5   | 5     |
      | 6      | 1 own 1, 4 a 0-1.8, 4 b 0-1.4, 7 own 7                | 7   | 7     |
      | 6      | 1 own 1, 4 a 0-4, 4 b 0-4, 5 own 5                    | 5   | never |
      | 1      | 1 own 1, 7 own 7, 7.1 a 1<6.9-7                       | 7.2 | 6.9   |

    Examples: other nodes that started during the silence and cannot confirm it
      | others | records                                    | now | ended |
      | 6      | 1 own 1, 7 own 7, 7.1 a 6.8-7, 7.1 b 6.9-7 | 9   | never |

    Examples: queries that were sent before the silence was noticed
      | others | records                                        | now | ended |
      | 6      | 1 own 1, 7 a 0-1@1, 7 b 0-0.9@1                | 7   | never |
      | 6      | 1 own 1, 7 own 7, 7.1 a 1<7-7@1, 7.1 b 1<7-7@1 | 7.2 | never |

    Examples: a second silence before any node has reported on the first, or after two have confirmed it
      | others | records                                               | now  | ended |
      | 6      | 1 own 1, 7 own 7, 11 own 11, 11.1 a 0-11, 11.1 b 0-11 | 11.2 | never |
      | 6      | 1 own 1, 7 own 7, 7.1 a 1<7-7, 7.1 b 1<7-7, 12 own 12 | 12   | 7     |
      | 6      | 1 own 1, 4 a 0-1, 4 b 0-1, 7 own 7, 11 own 11         | 11   | 7     |

    Examples: time in which this node was paused
      | others | records                                                | now | ended |
      | 0      | 1 own 1, 1 paused 7, 7 own 7                           | 7   | never |
      | 0      | 1 own 1, 1 paused 7                                    | 8.5 | never |
      | 6      | 1 own 1, 1 paused 7, 7 own 7, 7.1 a 1<7-7, 7.1 b 1<7-7 | 7.2 | never |

  Scenario: A node that was cut off from the store and the other nodes logs that the silence was its own
    Given 3 nodes and 2 engines
    When the store and the other nodes are unreachable for "node-1" for 4 seconds
    And 3 seconds pass
    Then node-1 logs the silence as "own"

  Scenario Outline: A node logs a silence as the store's only if the store answered no node
    Given 3 nodes and 2 engines
    When "<paused>" are paused for <paused_s> seconds
    And 1 seconds later the store is unreachable for "<cut>" for <cut_s> seconds
    And 14 seconds pass
    Then node-1 logs the silence as "<whose>"

    Examples: an empty last cell means that no silence is logged
      | paused | paused_s | cut                  | cut_s | whose |
      | node-1 | 4        |                      | 1     |       |
      |        | 0        | node-1,node-2,node-3 | 5     | store |
      |        | 0        | node-1,node-2        | 5     |       |

  # Guards against a false outage. Two of three nodes lost the store, and the third had just stopped its
  # own queries to read from one of them. It queried the store again one interval later, so no node had
  # a proof for 2.08 s, and all three assumed an outage. The fault depends on the order of the nodes'
  # steps: it showed with 5 of 30 seeds, and with 2 of 30 in another order of the tasks.
  Scenario: A node whose reader loses the store queries the store itself before it assumes a silence
    Given 3 nodes and 2 engines
    When 1 seconds later the store is unreachable for "node-1,node-2" for 5 seconds
    And 14 seconds pass
    Then node-1 logs the silence as "" with each seed from 1 to 30

  # Guards against using a back end whose registration has ended. A node that had just failed to reach
  # the store used it for 1.7 s more, because the registration might have lapsed in a store outage. The
  # store had answered all other nodes.
  Scenario Outline: An engine whose registration ends after a store silence for <nodes> gets <share>
    Given 3 nodes and 2 engines
    When the store is unreachable for "<cut>" for <cut_s> seconds and an engine's registration ends
    And generation requests are sent for 1 seconds
    Then the engine gets <share>

    Examples:
      | nodes      | cut                  | cut_s | share                |
      | some nodes | node-1               | 1.5   | none of the requests |
      | some nodes | node-1,node-2        | 1.5   | none of the requests |
      | all nodes  | node-1,node-2,node-3 | 4     | some of the requests |
