Feature: At most one run for each idempotency key, whatever fails
  Scenario Outline: Callers repeat their keys through several nodes while <fault>
    Given claim holders on 5 nodes in 3 zones
    When 30 keys are claimed by 3 racing callers each while <fault>
    Then no key has run more than once
    And at least <num_run> of the keys have run
    And every key that ran is still refused or answered when it is sent again

    Examples:
      | fault                                   | num_run |
      | nothing fails                           | 30      |
      | a node is lost                          | 28      |
      | two nodes are lost at once              | 20      |
      | a node restarts with empty memory       | 28      |
      | every node restarts in turn             | 25      |
      | a zone is cut off                       | 28      |
      | replies are lost                        | 20      |
      | requests are lost                       | 20      |
      | calls are delivered twice               | 30      |
      | replies come late                       | 20      |
      | the store is down                       | 30      |
      | the store is down and a node is lost    | 28      |
      | store answers are lost and a node leaves | 28     |
      | everything fails a little               | 15      |

  Scenario Outline: One caller's <first> request and the second with its key
    Given claim holders on 3 nodes in 3 zones
    When a first request with a key ends as "<first>" and a second comes with "<body>" through another node
    Then the second is told "<second>"

    Examples:
      | first     | body       | second      |
      | complete  | same body  | completed   |
      | complete  | other body | conflict    |
      | abandoned | same body  | in_progress |
      | not run   | same body  | granted     |

  Scenario: A group that was lost whole refuses unknown keys for the retention window
    Given claim holders on 5 nodes in 3 zones
    When a key has run and then all nodes restart at once
    Then the key and new keys are refused as not run until the retention has passed
    And new keys are granted after it

  Scenario: A store that fails between seal and swap leaves the group refusing, then whole
    Given claim holders on 5 nodes in 3 zones
    When the store goes down after the holders were sealed for a change
    Then claims of the group are refused as not run until the store is back
    And the key that ran before is answered as completed

  Scenario: A holder that hears fewer than half of the zones and no store stops voting
    Given claim holders on 5 nodes in 5 zones
    When two zones are cut off together with the store for 60 seconds
    Then no node in the cut zones grants a key
    And the nodes outside have gone on granting wherever they have a quorum

  Scenario: Nodes that hand over before they stop leave every claim behind
    Given claim holders on 5 nodes in 3 zones
    When 20 keys have run and then all nodes are replaced, each after it has handed over
    Then every key is answered as completed by the new nodes
    And no new key was refused meanwhile
