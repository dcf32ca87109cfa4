Feature: Prefix-aware choice of engine
  Scenario Outline: A prompt goes to <why>
    Given a prefix-aware policy and engines
      | engine | waiting_tokens | outstanding | matched_blocks |
      | e1     | <wait_1>       | <out_1>     | <match_1>      |
      | e2     | <wait_2>       | 0           | <match_2>      |
    When a prompt of 1000 blocks is chosen for 20 times
    Then only "<engine>" was chosen

    Examples:
      | why                                         | wait_1 | out_1 | match_1 | wait_2 | match_2 | engine |
      | the engine that holds more of it            | 0      | 0     | 800     | 0      | 200     | e1     |
      | the holder despite a queue                  | 8000   | 4     | 800     | 0      | 0       | e1     |
      | another engine when the queue costs more    | 40000  | 4     | 800     | 0      | 0       | e2     |
      | the holder while queues are long everywhere | 48000  | 4     | 800     | 24000  | 0       | e1     |
      | another copy when the holder saturates      | 14000  | 32    | 800     | 0      | 0       | e2     |
      | the shorter queue of equal holders          | 4000   | 4     | 800     | 0      | 800     | e2     |

  Scenario: First askers of one prefix at one node meet at one engine
    Given a prefix-aware policy and engines
      | engine | waiting_tokens | outstanding | matched_blocks |
      | e1     | 0              | 0           | 0              |
      | e2     | 0              | 0           | 0              |
      | e3     | 0              | 0           | 0              |
    When a prompt of 1000 blocks is chosen for and sent 5 times
    Then only one engine was chosen

  Scenario: First askers at different nodes meet at one engine once it is noted
    Given a prefix-aware policy and engines
      | engine | waiting_tokens | outstanding | matched_blocks |
      | e1     | 0              | 0           | 0              |
      | e2     | 0              | 0           | 0              |
      | e3     | 0              | 0           | 0              |
    And another node noted sending the prompt to "e3" with 2000 tokens to compute
    When a prompt of 1000 blocks is chosen for 20 times
    Then only "e3" was chosen
    And the choice expects to wait 0.25 seconds

  Scenario: Nothing sent to an engine's earlier run is counted on
    Given a prefix-aware policy and engines
      | engine | waiting_tokens | outstanding | matched_blocks |
      | e1     | 0              | 0           | 0              |
      | e2     | 400            | 0           | 0              |
    And another node noted sending the prompt to "e2" with 100 tokens to compute
    When a prompt of 1000 blocks is chosen for and sent 1 times
    Then only "e2" was chosen
    When engine "e2" has come back with another incarnation
    And a prompt of 1000 blocks is chosen for 20 times
    Then only "e1" was chosen

  Scenario: An engine whose belief proves false loses trust
    Given a prefix-aware policy and engines
      | engine | waiting_tokens | outstanding | matched_blocks |
      | e1     | 0              | 0           | 600            |
      | e2     | 0              | 0           | 500            |
    When a prompt of 1000 blocks is chosen for 1 times
    Then only "e1" was chosen
    When 40 requests have found nothing cached on "e1"
    And a prompt of 1000 blocks is chosen for 20 times
    Then only "e2" was chosen

  Scenario: Nodes without notes spread different cold prompts and agree on each
    Given 20 silent nodes with the same reports of 24 idle engines
    When each node chooses for the same 60 cold prompts
    Then no engine gets more than a sixth of the choices
    And most choices for one prompt agree
