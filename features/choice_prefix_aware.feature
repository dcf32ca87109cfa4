Feature: Prefix-aware choice of engine

  Guards against prompts computed again although an engine has their prefix cached, against an engine
  overloaded because it has a popular prefix, and against trust in outdated cache knowledge.

  Scenario Outline: A prompt goes to <why>
    Given a prefix-aware policy and the engines
      | engine | waiting_tokens | outstanding | matched_blocks |
      | e1     | <wait_1>       | <out_1>     | <match_1>      |
      | e2     | <wait_2>       | 0           | <match_2>      |
    When an engine is chosen 20 times for a prompt of 1000 blocks
    Then only "<engine>" was chosen

    Examples:
      | why                                         | wait_1 | out_1 | match_1 | wait_2 | match_2 | engine |
      | the engine with more of it cached           | 0      | 0     | 800     | 0      | 200     | e1     |
      | the engine with the prefix despite a queue  | 8000   | 4     | 800     | 0      | 0       | e1     |
      | another engine when the queue costs more    | 40000  | 4     | 800     | 0      | 0       | e2     |
      | the engine with the prefix if all are busy  | 48000  | 4     | 800     | 24000  | 0       | e1     |
      | another engine if the first is saturated    | 14000  | 32    | 800     | 0      | 0       | e2     |
      | the shorter queue if both have the prefix   | 4000   | 4     | 800     | 0      | 800     | e2     |

  Scenario: The first requests with one prefix at one node go to one engine
    Given a prefix-aware policy and the engines
      | engine | waiting_tokens | outstanding | matched_blocks |
      | e1     | 0              | 0           | 0              |
      | e2     | 0              | 0           | 0              |
      | e3     | 0              | 0           | 0              |
    When an engine is chosen 5 times for a prompt of 1000 blocks and the prompt is sent
    Then only one engine was chosen

  Scenario: The first requests with one prefix at different nodes go to one engine after a send notice
    Given a prefix-aware policy and the engines
      | engine | waiting_tokens | outstanding | matched_blocks |
      | e1     | 0              | 0           | 0              |
      | e2     | 0              | 0           | 0              |
      | e3     | 0              | 0           | 0              |
    And another node announced a send of the prompt to "e3" with 2000 tokens to compute
    When an engine is chosen 20 times for a prompt of 1000 blocks
    Then only "e3" was chosen
    And the choice expects to wait 0.25 seconds

  Scenario: Prompts sent to an engine's earlier run do not count as cached
    Given a prefix-aware policy and the engines
      | engine | waiting_tokens | outstanding | matched_blocks |
      | e1     | 0              | 0           | 0              |
      | e2     | 400            | 0           | 0              |
    And another node announced a send of the prompt to "e2" with 100 tokens to compute
    When an engine is chosen 1 times for a prompt of 1000 blocks and the prompt is sent
    Then only "e2" was chosen
    When engine "e2" has restarted with another incarnation
    And an engine is chosen 20 times for a prompt of 1000 blocks
    Then only "e1" was chosen

  Scenario: An engine whose expected cached prefix proves wrong is trusted less
    Given a prefix-aware policy and the engines
      | engine | waiting_tokens | outstanding | matched_blocks |
      | e1     | 0              | 0           | 600            |
      | e2     | 0              | 0           | 500            |
    When an engine is chosen 1 times for a prompt of 1000 blocks
    Then only "e1" was chosen
    When 40 requests had no cached tokens on "e1"
    And an engine is chosen 20 times for a prompt of 1000 blocks
    Then only "e2" was chosen

  Scenario: Nodes without send notices spread different uncached prompts and agree on each
    Given 20 nodes without send notices and with the same reports of 24 idle engines
    When each node chooses engines for the same 60 uncached prompts
    Then no engine gets more than a sixth of the choices
    And most choices for one prompt agree
