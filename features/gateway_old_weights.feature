Feature: No node sends requests to weights after their grace period, whatever happens to this node alone

  # Guards against requests that begin on old weights after the grace period. Operators had set new
  # weights, and engines that could not be ordered in time kept the old ones. 3 s and more after the
  # grace period a few nodes still sent requests there, while all other nodes had stopped.
  #
  # How it comes about: a node is paused, or its connections are reset or go silent, before or after the
  # target version is set, while the store answers all other nodes. Some seconds later the node recovers
  # and sends requests to engines that every other node has stopped using.
  #
  # Cause: each node counted the grace period from what happened to itself, either from when it first
  # received the new target version or from its own last failed call to the store.
  #
  # The late requests reached their engine at once and began there within a tenth of a second, so no
  # queue delayed them: their node had chosen the engine. Without the fix, each scenario marked "alone"
  # lets requests begin 10.7 s after the target was set; without a disturbance the last one begins after
  # 6.8 s.

  Scenario: The log line of a request on older weights states for how long they have been outdated
    Given 3 nodes and 2 engines
    And no node can send orders
    When target version 2 is set, with fault "none"
    And 1 seconds pass
    And generation requests are sent for 2 seconds
    Then their log lines state the newest version and an age that grows to 3 seconds, or up to 0.5 more

  Scenario: A node that alone loses the store does not restart the grace period
    Given 3 nodes and 4 engines
    And no node can send orders
    When target version 2 is set, with fault "none"
    And 3 seconds later the store is unreachable for "node-1" for 2 seconds
    And generation requests are sent for 9 seconds
    Then no request began on version 1 later than 8 seconds after the target was set

  Scenario: A node that alone is paused while the target is set counts from before the pause
    Given 3 nodes and 4 engines
    And no node can send orders
    When "node-1" is paused and target version 2 is set, for 4 seconds
    And generation requests are sent for 9 seconds
    Then no request began on version 1 later than 8 seconds after the target was set

  Scenario: A node that alone misses the first of two target versions counts from the first
    Given 3 nodes and 4 engines
    And no node can send orders
    When "node-1" is paused, target versions 2 and 3 are set 3 seconds apart, and the node resumes
    And generation requests are sent for 9 seconds
    Then no request began on version 1 later than 8 seconds after the first target was set

  # Guards against a request that is sent near the end of the grace period although it is expected to
  # begin too late, because requests wait at an engine before they begin.
  Scenario Outline: If requests wait for <wait_s> s at engines, nodes stop using older weights earlier
    Given 3 nodes and 4 engines
    And no node can send orders
    And engines that need <wait_s> s to begin a request
    When generation requests are sent for 20 seconds
    And target version 2 is set, with fault "none"
    And generation requests are sent for 9 seconds
    Then no request on version 1 had its first event later than 8 seconds after the target was set
    And the last request on version 1 was sent <least> to <most> seconds after the target was set

    Examples:
      | wait_s | least | most |
      | 0.1    | 6     | 6.9  |
      | 1      | 3.5   | 6.8  |
      | 2      | 1     | 5.6  |

  Scenario Outline: After a store outage for all nodes the grace period of older weights restarts, <condition>
    Given 3 nodes and 4 engines
    And no node can send orders
    When target version 2 is set, with fault "none"
    And 3 seconds later the store is unreachable for "node-1,node-2,node-3" for 4 seconds
    And "<paused>" are paused for <seconds> seconds
    And generation requests are sent for 12 seconds
    Then the last request on version 1 began 5 to 9 seconds after the outage

    Examples: a node waits up to 1.2 s between failing calls, so the time without an answer may be longer
      | condition                        | paused        | seconds |
      | with all nodes healthy           |               | 0       |
      | with one node paused afterwards  | node-1        | 3       |
      | with two nodes paused afterwards | node-1,node-2 | 3       |

  Scenario Outline: All nodes restart <after> seconds after the target was set, and engines get no orders
    Given 3 nodes and 4 engines
    And no order reaches an engine
    When target version 2 is set, with fault "none"
    And all nodes restart <after> seconds later
    And generation requests are sent for 10 seconds
    Then the last request on version 1 began <least> to 8 seconds after the target was set

    Examples: the age marker of the target version expires after about five seconds
      | after | least |
      | 1     | 3     |
      | 3     | 4     |
      | 6     | 0     |

  # Guards against loading all engines at once. A node won the duty 0.4 s after its start, when it did
  # not know yet how old the target version was. It considered all engines overdue and marked all as
  # loading, three seconds before it could order any: 215 generation requests were refused.
  Scenario: A holder that has just started loads no engine earlier than another holder would
    Given 3 nodes and 6 engines
    And no node can send orders
    When target version 2 is set, with fault "none"
    And "node-1" restarts after 0.5 seconds and gets the duty at once
    And 1.5 seconds pass
    Then node-1 has begun no load, because no engine needs the new weights yet

  # Guards against loading all engines at once after an outage. A target version that is set during a
  # store outage may have been set at its beginning. So all engines counted as overdue when the store
  # had recovered, and were loaded at once: 113 requests were refused.
  Scenario: After a store outage engines are still loaded in waves
    Given 3 nodes and 6 engines
    When the store is down for 7 seconds, and target version 2 is set as it recovers
    And generation requests are sent for 2.5 seconds
    Then at most 3 loads were begun within any 0.5 seconds

  Scenario Outline: An answer of another node proves no lower age than at the time of the query
    Given 2 nodes and 1 engines
    And no node can send orders
    When target version 2 is set and an answer of the other node takes <delay> seconds
    Then node-1 assumes that version 2 was set no later than it was

    Examples:
      | delay |
      | 0     |
      | 0.5   |
      | 5     |

  # A paused node sends the store no queries, so the silence that it observes proves nothing. If no other
  # node was awake, no report contradicts it.
  Scenario Outline: Nodes that are all paused after the target was set do not restart the grace period, <nodes> nodes
    Given <nodes> nodes and 4 engines
    And no node can send orders
    When target version 2 is set, with fault "none"
    And 1 seconds pass
    And "<names>" are paused for 4 seconds
    And generation requests are sent for 9 seconds
    Then no request began on version 1 later than 8 seconds after the target was set

    Examples:
      | nodes | names                |
      | 1     | node-1               |
      | 2     | node-1,node-2        |
      | 3     | node-1,node-2,node-3 |

  # Nodes that started during the silence cannot confirm it, but count as nodes that have to confirm it.
  Scenario: A node that is paused while all other nodes restart does not restart the grace period
    Given 3 nodes and 4 engines
    And no node can send orders
    When target version 2 is set, with fault "none"
    And 1 seconds pass
    And "node-1" is paused for 4 seconds while all other nodes restart
    And generation requests are sent for 9 seconds
    Then no request began on version 1 later than 8 seconds after the target was set

  # The lifetime of an age marker starts when the store processes the call for its lease. If that call
  # is delayed, the marker outlives the age that it proves: nodes that started then let old weights serve
  # for up to 9 s.
  Scenario Outline: An age marker whose lease is granted <late> s late tells starting nodes no lower age
    Given 3 nodes and 4 engines
    And no order reaches an engine
    And the lease of an age marker is granted <late> seconds late
    When target version 2 is set, with fault "none"
    And all nodes restart <after> seconds later
    And generation requests are sent for 6 seconds
    Then the last request on version 1 began 0 to 7 seconds after the target was set

    Examples:
      | late | after |
      | 0.9  | 5     |
      | 2.2  | 5     |
      | 4    | 6     |

  Scenario: A later holder writes no age marker with a lower age
    Given 3 nodes and 4 engines
    And no order reaches an engine
    When target version 2 is set, with fault "none"
    And the holder is killed after 4.5 seconds
    And all nodes restart 4.5 seconds later
    And generation requests are sent for 5 seconds
    Then the last request on version 1 began 0 to 8 seconds after the target was set

  Scenario: If a version was not set yet at some time, no higher version was set by then
    Given versions 2 and 3 that were set no earlier than 1 s
    When version 2 is proved to have been set no earlier than 5 s
    Then version 3 was set no earlier than 5 s

  Scenario: Nodes ask each other for the latest proof that a version was not set yet
    Given 5 nodes and 1 engines
    And no node can send orders
    When 8 target versions are set, one every 3.1 seconds
    Then each node assumes that they were set at most 0.35 s too early on average
