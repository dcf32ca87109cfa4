Feature: Logged claims survive the restart of all their holders
  Guards against a key that runs twice because all holders of its claim restarted with empty memory
  and the claim log in the store was incomplete, read too early or written too late.

  Scenario Outline: All holders restart while <fault>
    Given 5 nodes in 3 zones that log their claims
    When callers retry 20 keys while all nodes restart and <fault>
    Then no logged key has run more than once
    And no key that ran before the restart was granted after it
    And 25 s after the restart new keys are answered "<answer>"

    Examples:
      | fault                                           | answer            |
      | the store answers                               | granted           |
      | the store is slow                               | granted           |
      | store answers are lost                          | granted           |
      | the store limits the rate                       | granted           |
      | the store was down until 15 s before            | granted           |
      | the store is down for the 4 s of the restart    | granted           |
      | they restart again 1 s later                    | granted           |
      | messages are lost and late until 5 s after      | granted           |
      | the store is down from 40 s before to 5 s after | claim_unavailable |

  Scenario: A store outage stops grants for one lease at most
    Given 5 nodes in 3 zones that log their claims
    When the store goes down for 60 seconds and new keys come every second
    Then new keys were granted until the store went down and again from 13 s after it
    And each refusal asks for a retry within 10 s

  Scenario: A run that a later run has replaced never votes without the log
    When a later run renews the mark of a run that still runs, and the store goes down
    Then the earlier run still requires the log a minute later

  Scenario: Full heads move to segments, expired segments are deleted, and each recent claim is loaded
    When 500 claims of one group are logged, and as many again after the retention
    Then the log of the group has every claim of the second half in values below 16 kB
    And segments of the first half are deleted

  Scenario: A writer of an ended epoch cannot log claims
    When the log of a group is fenced while a writer has a claim of the previous epoch
    Then the late claim is not logged

  Scenario: A change of holders logs all claims before its epoch is in force
    Given 5 nodes in 3 zones that log their claims
    When 30 keys run without the log and a node leaves as the store comes back
    Then each epoch that counts as logged began with all its claims in the log

  Scenario Outline: A lease of <lease_s> s for the claim log is <outcome>
    When a deployment with a claim log lease of <lease_s> s is checked
    Then the claim log lease is <outcome>

    Examples:
      | lease_s | outcome |
      | 3.0     | taken   |
      | 2.9     | refused |
