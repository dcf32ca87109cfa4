Feature: The rules of a rollout, each on its own

  A rollout sends a share of a service's requests, the canary requests, to the target version. By their
  answers it is completed or rolled back. Each rule is checked here without a fleet: how many canary
  requests nodes send although some are killed and restarted, how counts of answers spread although
  messages are lost, duplicated or late, when a version is called bad, and which stage comes next.

  Scenario Outline: Whatever nodes are killed and restarted, <nodes> nodes send no more canary requests than the share allows
    Given <nodes> nodes that learn of a rollout order, some of which are killed and restarted <restarts> times
    When they send <count> requests of the service in 50 random histories
    Then no history has more canary requests than 0.1 of the requests plus <tolerance>
    And on average they use at least <used> of the share

    Examples:
      | nodes | restarts | count | tolerance | used |
      | 4     | 0        | 4000  | 20        | 0.85 |
      | 64    | 0        | 4000  | 50        | 0.85 |
      | 64    | 3        | 4000  | 50        | 0.85 |
      | 64    | 3        | 800   | 50        | 0.85 |
      | 400   | 2        | 4000  | 60        | 0.70 |
      | 64    | 3        | 4000  | 0         | 0.30 |

  Scenario: The saved credit for canary requests is bounded
    Given a node that accrues credit for 1000 requests and sends no canary request
    Then it may send 3 canary requests at once and no more

  Scenario: Lost, duplicated or late messages never make a sum exceed the true count, and it converges
    Given 100 random histories of tallies that five nodes exchange
    Then no node ever counted more answers than there were
    And after a last complete exchange every node counted all answers

  Scenario Outline: A version with <share> more bad answers <how> is called bad in <found> of the simulations
    Given 30 simulations of a version with <share> more bad answers <how>
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

  Scenario Outline: After <trials> canary requests with <bad> bad answers, a version is <judged> at the end
    Given a route on which 6 of the old version's 300 answers were bad
    When <bad> of the target's <trials> answers were bad
    Then it is judged "<judged>"

    Examples:
      | trials | bad | judged    |
      | 0      | 0   | undecided |
      | 8      | 0   | undecided |
      | 14     | 0   | good      |
      | 40     | 3   | good      |
      | 40     | 8   | undecided |

  Scenario Outline: At the stage <stage> with state proved current <age> s ago, stable requests go to <stable> and canary requests to <canary>
    Given a record at the stage "<stage>", proved current <age> s ago, and a rollback within 5 s
    Then stable requests may go to "<stable>" and canary requests to "<canary>"

    Examples: v0 is unusable since an earlier rollout
      | stage     | age | stable | canary |
      | none      | 0.5 | v1     | -      |
      | canary    | 0.5 | v1     | v2     |
      | canary    | 1.6 | v1     | -      |
      | canary    | 5.5 | -      | -      |
      | moving    | 0.5 | v2     | -      |
      | moving    | 1.6 | -      | -      |
      | completed | 9.0 | v2     | -      |
      | returned  | 9.0 | v1     | -      |

  Scenario Outline: At the stage <stage> with state proved current <age> s ago, streams go on at their own version
    Given a record at the stage "<stage>", proved current <age> s ago, and a rollback within 5 s
    Then streams of "v0", "v1", "v2" may go on at "<v0>", "<v1>", "<v2>", the latter as canaries "<canary>"

    Examples: v0 is unusable since an earlier rollout
      | stage     | age | v0 | v1 | v2 | canary |
      | none      | 0.5 | -  | v1 | -  | -      |
      | canary    | 0.5 | -  | v1 | -  | v2     |
      | canary    | 1.6 | -  | v1 | -  | -      |
      | canary    | 5.5 | -  | -  | -  | -      |
      | moving    | 0.5 | -  | v1 | v2 | -      |
      | moving    | 1.6 | -  | v1 | -  | -      |
      | moving    | 5.5 | -  | -  | -  | -      |
      | completed | 9.0 | -  | -  | v2 | -      |
      | returned  | 9.0 | -  | v1 | -  | -      |

  Scenario Outline: The next stage of a rollout: <case>
    Given a rollout with a deadline of 12 s, ordered <elapsed> s ago, at the stage "<stage>" and judged "<judged>"
    And <slots> target slots and 24 old slots, all nodes moved for <moved> s, <running> requests at old versions, and <in_stage> s at the stage
    Then the next stage is "<next>"

    Examples:
      | case                                            | stage     | elapsed | judged    | slots | moved | running | in_stage | next      |
      | an order is started                             | none      | 0.1     | undecided | 0     | 0     | 5       | 0        | canary    |
      | a bad version is rolled back at once            | canary    | 1.0     | bad       | 24    | 0     | 5       | 1.0      | returned  |
      | a good version stays a canary until the verdict | canary    | 5.9     | good      | 24    | 0     | 5       | 5.9      | stay      |
      | a good version then gets all traffic            | canary    | 6.1     | good      | 24    | 0     | 5       | 6.0      | moving    |
      | a good version with too few slots waits         | canary    | 6.1     | good      | 8     | 0     | 5       | 6.0      | stay      |
      | too few slots: rolled back in the end           | canary    | 10.1    | good      | 8     | 0     | 5       | 10.0     | returned  |
      | undecided waits                                 | canary    | 9.0     | undecided | 24    | 0     | 5       | 9.0      | stay      |
      | undecided is rolled back in the end             | canary    | 10.1    | undecided | 24    | 0     | 5       | 10.0     | returned  |
      | bad while traffic moves                         | moving    | 7.0     | bad       | 24    | 0     | 5       | 1.0      | returned  |
      | not all nodes have moved                        | moving    | 7.0     | good      | 24    | 0     | 0       | 1.0      | stay      |
      | all nodes have just moved                       | moving    | 8.0     | good      | 24    | 1.0   | 0       | 2.0      | stay      |
      | a request still runs at an old version          | moving    | 9.0     | good      | 24    | 2.0   | 1       | 3.0      | stay      |
      | all nodes have moved                            | moving    | 9.0     | good      | 24    | 1.6   | 0       | 3.0      | completed |
      | a silent node's state has expired               | moving    | 13.5    | good      | 24    | 0     | 0       | 7.1      | completed |
      | an ended rollout stays completed                | completed | 9.0     | bad       | 24    | 0     | 0       | 1.0      | stay      |
      | an ended rollout stays rolled back              | returned  | 9.0     | good      | 24    | 2.0   | 0       | 1.0      | stay      |

  Scenario Outline: The record of a new stage lists the unusable versions
    Given a rollout with a deadline of 12 s, ordered 7 s ago, at the stage "canary" and judged "good"
    And 24 target slots and 24 old slots, all nodes moved for 0 s, 5 requests at old versions, and 7 s at the stage
    When the lease holder enters the stage "<stage>"
    Then its record lists "<unusable>" as unusable

    Examples:
      | stage     | unusable |
      | moving    | none     |
      | completed | v1       |
      | returned  | v2       |

  Scenario Outline: A node whose own counts raise an alarm sends the target no more canary requests
    Given a node that may send canary requests and has <alarm>
    When a retryable request arrives
    Then it takes the "<track>" track

    Examples: independent of the lease holder's record
      | alarm                     | track  |
      | no alarm                  | canary |
      | an alarm about the target | stable |
