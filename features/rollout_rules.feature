Feature: Rules of rollouts, each by itself

  Scenario Outline: Over any run of starts and kills, <nodes> nodes try no more than the share allows
    Given <nodes> nodes that learn of an order, of which some are killed and started <restarts> times
    When they send <count> requests of the service in 50 drawn histories
    Then no history has more trials than 0.1 of the requests and <tolerance> more
    And on average they try at least <used> of the share

    Examples:
      | nodes | restarts | count | tolerance | used |
      | 4     | 0        | 4000  | 20        | 0.85 |
      | 64    | 0        | 4000  | 50        | 0.85 |
      | 64    | 3        | 4000  | 50        | 0.85 |
      | 64    | 3        | 800   | 50        | 0.85 |
      | 400   | 2        | 4000  | 60        | 0.70 |
      | 64    | 3        | 4000  | 0         | 0.30 |

  Scenario: An allowance that is not used is not saved up without bound
    Given a node that earns for 1000 requests and tries none
    Then it may try 3 at once and no more

  Scenario: Whatever is lost, doubled or late, a sum is never above the truth and reaches it
    Given 100 drawn histories of tallies that five nodes tell one another
    Then no node ever knew more than had happened
    And after a last whole telling every node knew all

  Scenario Outline: A version of which <share> more answers are bad is called bad in <found> of the plays
    Given 30 plays of a version of which <share> more answers are bad <how>
    Then it is called bad before its 50th bad answer in at least <least> and at most <most> of them

    Examples:
      | share | how            | found | least | most |
      | 0.0   | everywhere     | none  | 0     | 0    |
      | 0.6   | everywhere     | all   | 30    | 30   |
      | 1.0   | everywhere     | all   | 30    | 30   |
      | 0.8   | on one route   | most  | 28    | 30   |
      | 0.8   | from 3 s on    | most  | 27    | 30   |
      | 0.9   | by being slow  | all   | 30    | 30   |
      | 0.9   | on one runner  | none  | 0     | 1    |

  Scenario Outline: With <trials> trials of which <bad> are bad, a version is <judged> at the end
    Given a route whose old version had 300 answers of which 6 were bad
    When the target had <trials> trials of which <bad> were bad
    Then it is judged "<judged>"

    Examples:
      | trials | bad | judged    |
      | 0      | 0   | undecided |
      | 8      | 0   | undecided |
      | 14     | 0   | good      |
      | 40     | 3   | good      |
      | 40     | 8   | undecided |

  Scenario Outline: At stage <stage>, with a proof <age> s old, requests may go to <usual> and trials to <trial>
    Given a record at "<stage>" whose proof is <age> s old, and a return within 5 s
    Then usual requests may go to "<usual>" and trials to "<trial>"

    Examples: v0 was given up earlier
      | stage     | age | usual | trial |
      | none      | 0.5 | v1    | -     |
      | canary    | 0.5 | v1    | v2    |
      | canary    | 1.6 | v1    | -     |
      | canary    | 5.5 | -     | -     |
      | moving    | 0.5 | v2    | -     |
      | moving    | 1.6 | -     | -     |
      | completed | 9.0 | v2    | -     |
      | returned  | 9.0 | v1    | -     |

  Scenario Outline: What the holder does next: <case>
    Given a rollout with a deadline of 12 s at "<stage>" for <elapsed> s, judged "<judged>"
    And <slots> slots of the target beside 24, moved for <moved> s, <running> requests at old versions, <in_stage> s at the stage
    Then the next stage is "<next>"

    Examples:
      | case                                   | stage     | elapsed | judged    | slots | moved | running | in_stage | next      |
      | an order is begun                      | none      | 0.1     | undecided | 0     | 0     | 5       | 0        | canary    |
      | a bad version is returned at once      | canary    | 1.0     | bad       | 24    | 0     | 5       | 1.0      | returned  |
      | a good one is tried until the verdict  | canary    | 5.9     | good      | 24    | 0     | 5       | 5.9      | stay      |
      | then traffic moves                     | canary    | 6.1     | good      | 24    | 0     | 5       | 6.0      | moving    |
      | with too few runners it waits          | canary    | 6.1     | good      | 8     | 0     | 5       | 6.0      | stay      |
      | and is returned in the end             | canary    | 10.1    | good      | 8     | 0     | 5       | 10.0     | returned  |
      | undecided waits                        | canary    | 9.0     | undecided | 24    | 0     | 5       | 9.0      | stay      |
      | undecided is returned in the end       | canary    | 10.1    | undecided | 24    | 0     | 5       | 10.0     | returned  |
      | bad in the move                        | moving    | 7.0     | bad       | 24    | 0     | 5       | 1.0      | returned  |
      | not all have moved                     | moving    | 7.0     | good      | 24    | 0     | 0       | 1.0      | stay      |
      | all have moved just now                | moving    | 8.0     | good      | 24    | 1.0   | 0       | 2.0      | stay      |
      | something runs still                   | moving    | 9.0     | good      | 24    | 2.0   | 1       | 3.0      | stay      |
      | all have moved                         | moving    | 9.0     | good      | 24    | 1.6   | 0       | 3.0      | completed |
      | a silent node has lost its proof       | moving    | 13.5    | good      | 24    | 0     | 0       | 7.1      | completed |
      | an end stays: completed                | completed | 9.0     | bad       | 24    | 0     | 0       | 1.0      | stay      |
      | an end stays: returned                 | returned  | 9.0     | good      | 24    | 2.0   | 0       | 1.0      | stay      |

  Scenario Outline: Which versions the record of a new stage calls unusable
    Given a rollout with a deadline of 12 s at "canary" for 7 s, judged "good"
    And 24 slots of the target beside 24, moved for 0 s, 5 requests at old versions, 7 s at the stage
    When the holder enters the stage "<stage>"
    Then its record calls "<unusable>" unusable

    Examples:
      | stage     | unusable |
      | moving    | none     |
      | completed | v1       |
      | returned  | v2       |

  Scenario Outline: A node whose own counts raise an alarm tries the target no more
    Given a node that may send the target requests, and has <alarm>
    When a request that may be repeated comes
    Then it is for the "<track>" versions

    Examples: whatever the holder's record still says
      | alarm                     | track  |
      | no alarm                  | canary |
      | an alarm about the target | stable |
