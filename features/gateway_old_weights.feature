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
    Then their lines tell the newest version and a growing age of at most 3 seconds

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
