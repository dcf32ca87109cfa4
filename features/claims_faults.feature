Feature: At most one run for each idempotency key under node, network and store faults
  Guards against two callers that are both granted one key, and against a key that is granted
  again after its holders lost their memory, their messages or the store.

  Scenario Outline: Callers retry their keys through several nodes while <fault>
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

  Scenario Outline: A second request with the key of a first that ended as "<first>", with <body>
    Given claim holders on 3 nodes in 3 zones
    When a first request with a key ends as "<first>" and a second arrives with "<body>" through another node
    Then the second request is answered "<second>"

    Examples:
      | first     | body       | second      |
      | complete  | same body  | completed   |
      | complete  | other body | conflict    |
      | abandoned | same body  | in_progress |
      | not run   | same body  | granted     |

  Scenario: A group whose holders all restarted refuses claims for the retention window
    Given claim holders on 5 nodes in 3 zones
    When a key has run and then all nodes restart at once
    Then the key and new keys are refused as not run until the retention has passed
    And new keys are granted after the retention

  Scenario: When the store fails between seal and swap, the group refuses claims until the store is back
    Given claim holders on 5 nodes in 3 zones
    When the store goes down after the holders were sealed for a change
    Then claims of the group are refused as not run until the store is back
    And the key that ran before is answered as completed

  Scenario: A holder that reaches fewer than half of the zones and not the store stops voting
    Given claim holders on 5 nodes in 5 zones
    When two zones are cut off together with the store for 60 seconds
    Then no node in the cut zones grants a key
    And the nodes outside still grant each key for which they have a quorum

  Scenario: No claim is lost when nodes hand over before they stop
    Given claim holders on 5 nodes in 3 zones
    When 20 keys have run and then all nodes are replaced, each after it has handed over
    Then every key is answered as completed by the new nodes
    And no new key was refused during the replacement
