Feature: No node lets requests begin on weights whose grace has passed, whatever befalls it alone

  # Operators named new weights. Runners that could not be ordered in time kept the old ones, and
  # requests began there after the grace of the old weights: 3 s after it and more, from a few nodes,
  # while all others had stopped.
  #
  # Order of events: a node stood still, or its connections were reset or went silent, before or
  # after the naming; the store answered all other nodes meanwhile. Some seconds later the node was
  # sound again, and sent requests to runners that every other node had stopped using.
  #
  # Cause: each node counted the grace by what had befallen itself, from when it first heard of the
  # naming, or from its own last failed call to the store.
  #
  # Proof: the late requests reached their runner at once and began there within a tenth of a second,
  # so no queue held them; their node had chosen the runner. With the code of that time each scenario
  # below marked "alone" lets requests begin 10.7 s after the naming; undisturbed, the last one begins
  # after 6.8 s.

  Scenario: The line of a request on older weights tells for how long they have been too old
    Given 3 nodes and 2 runners
    And nobody can give orders
    When version 2 is named and there is "nothing else"
    And 1 seconds pass
    And generations are sent for 2 seconds
    Then their lines tell the newest version and an age that grows to 3 seconds, or up to 0.5 more

  Scenario: A node that alone loses the store begins no grace of its own
    Given 3 nodes and 4 runners
    And nobody can give orders
    When version 2 is named and there is "nothing else"
    And 3 seconds later the store is out of reach for "node-1" for 2 seconds
    And generations are sent for 9 seconds
    Then no run began on version 1 later than 8 seconds after the naming

  Scenario: A node that alone stands still while weights are named counts from before it stood still
    Given 3 nodes and 4 runners
    And nobody can give orders
    When "node-1" stands still and version 2 is named, for 4 seconds
    And generations are sent for 9 seconds
    Then no run began on version 1 later than 8 seconds after the naming

  Scenario: A node that alone misses the first of two namings reckons with it
    Given 3 nodes and 4 runners
    And nobody can give orders
    When "node-1" stands still, versions 2 and 3 are named 3 seconds apart and it goes on
    And generations are sent for 9 seconds
    Then no run began on version 1 later than 8 seconds after the first naming

  # Requests wait at a runner before they begin. Near the end of the grace a request was sent where it
  # was to be expected that it began too late; not seen by users, found while the cause was looked for.
  Scenario Outline: Where requests wait for <wait_s> s at runners, older weights are left the earlier
    Given 3 nodes and 4 runners
    And nobody can give orders
    And runners that need <wait_s> s to begin a request
    When generations are sent for 20 seconds
    And version 2 is named and there is "nothing else"
    And generations are sent for 9 seconds
    Then no request on version 1 had its first event later than 8 seconds after the naming
    And the last one on version 1 was sent <least> to <most> seconds after the naming

    Examples:
      | wait_s | least | most |
      | 0.1    | 6     | 6.9  |
      | 1      | 3.5   | 6.8  |
      | 2      | 1     | 5.6  |

  Scenario Outline: After an outage of the store for all nodes older weights count their grace anew, <beside>
    Given 3 nodes and 4 runners
    And nobody can give orders
    When version 2 is named and there is "nothing else"
    And 3 seconds later the store is out of reach for "node-1,node-2,node-3" for 4 seconds
    And "<still>" stand still for <seconds> seconds
    And generations are sent for 12 seconds
    Then the last run on version 1 began 5 to 9 seconds after the outage

    Examples: a node rests for up to 1.2 s between calls that fail, so the store may answer nobody for longer
      | beside                              | still         | seconds |
      | all being sound                     |               | 0       |
      | one standing still afterwards       | node-1        | 3       |
      | two standing still afterwards       | node-1,node-2 | 3       |

  Scenario Outline: All nodes start anew <after> seconds after a naming, with runners that take no orders
    Given 3 nodes and 4 runners
    And no order reaches a runner
    When version 2 is named and there is "nothing else"
    And all nodes start anew after <after> seconds
    And generations are sent for 10 seconds
    Then the last run on version 1 began <least> to 8 seconds after the naming

    Examples: the record of the naming is gone after some five seconds
      | after | least |
      | 1     | 3     |
      | 3     | 4     |
      | 6     | 0     |

  # A node that had just started won the duty 0.4 s later and did not know yet how old the naming was. It
  # took all runners for overdue and marked all as loading, three seconds before it could order any:
  # 215 generations were refused.
  Scenario: A holder that has just started loads no runner earlier than any other would
    Given 3 nodes and 6 runners
    And nobody can give orders
    When version 2 is named and there is "nothing else"
    And "node-1" starts anew after 0.5 seconds and gets the duty at once
    And 1.5 seconds pass
    Then node-1 has begun no load, as nobody needs the new weights yet

  # A version that was named during an outage of the store may have been named at its beginning. Its
  # runners passed for overdue when the store was back, and all were loaded at once: 113 refusals.
  Scenario: After an outage of the store runners are loaded in waves again
    Given 3 nodes and 6 runners
    When the store is away for 7 seconds, and version 2 is named as it returns
    And generations are sent for 2.5 seconds
    Then at most 3 loads were begun within any 0.5 seconds

  Scenario Outline: An answer of another node proves no younger age than there was when it was asked
    Given 2 nodes and 1 runners
    And nobody can give orders
    When version 2 is named and an answer of the other node takes <delay> seconds
    Then node-1 takes version 2 to be named no later than it was

    Examples:
      | delay |
      | 0     |
      | 0.5   |
      | 5     |

  # A node that stood still asked the store nothing meanwhile, so its silence proves nothing; with no
  # other node that was awake, nobody contradicts it.
  Scenario Outline: Nodes that all stand still after a naming begin no grace anew, <nodes> of them
    Given <nodes> nodes and 4 runners
    And nobody can give orders
    When version 2 is named and there is "nothing else"
    And 1 seconds pass
    And "<names>" stand still for 4 seconds
    And generations are sent for 9 seconds
    Then no run began on version 1 later than 8 seconds after the naming

    Examples:
      | nodes | names                |
      | 1     | node-1               |
      | 2     | node-1,node-2        |
      | 3     | node-1,node-2,node-3 |

  # Nodes that started during the silence cannot know of it, and are counted among those who agree.
  Scenario: A node that stands still while all others start anew begins no grace of its own
    Given 3 nodes and 4 runners
    And nobody can give orders
    When version 2 is named and there is "nothing else"
    And 1 seconds pass
    And "node-1" stands still for 4 seconds while all others start anew
    And generations are sent for 9 seconds
    Then no run began on version 1 later than 8 seconds after the naming

  # The record of a naming lives from when the store takes the call. Where that call waited, the record
  # outlived what it tells, and nodes that started then let old weights serve for up to 9 s.
  Scenario Outline: A record whose lease comes <late> s late tells starting nodes no younger age
    Given 3 nodes and 4 runners
    And no order reaches a runner
    And the lease of a naming's record comes <late> seconds late
    When version 2 is named and there is "nothing else"
    And all nodes start anew after <after> seconds
    And generations are sent for 6 seconds
    Then the last run on version 1 began 0 to 7 seconds after the naming

    Examples:
      | late | after |
      | 0.9  | 5     |
      | 2.2  | 5     |
      | 4    | 6     |

  Scenario: A later holder writes no younger record of a naming
    Given 3 nodes and 4 runners
    And no order reaches a runner
    When version 2 is named and there is "nothing else"
    And the holder is killed after 4.5 seconds
    And all nodes start anew after 4.5 seconds
    And generations are sent for 5 seconds
    Then the last run on version 1 began 0 to 8 seconds after the naming

  Scenario: What was not named yet at a time was not followed by higher versions either
    Given versions 2 and 3 that were named no earlier than 1 s
    When version 2 turns out to have been named no earlier than 5 s
    Then version 3 was named no earlier than 5 s

  Scenario: Nodes ask each other for the latest proof that a version was not named yet
    Given 5 nodes and 1 runners
    And nobody can give orders
    When 8 versions are named, one each 3.1 seconds
    Then each node takes them to be named at most 0.35 s too early on average
