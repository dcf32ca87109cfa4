Feature: Blocks that an engine is to fetch, and that do not come, count as read again

  # Guards against prompts that are read again: engines that do not fetch were believed to.
  Scenario Outline: Fetches that do not come are learnt, those from engines and from stores apart
    Given runners that read 14 tokens a ms, with 10 ms and 2 ms a request on top
    When <count> first events are observed, after fetches of 1500 tokens from <places> of which <missed> in 100 do not come, and as many without a fetch
    Then of tokens from <place> a share of <least> to <most> is expected to be read

    Examples:
      | count | places  | missed | place  | least | most |
      | 0     | engines | 0     | engines | 0.0   | 0.0  |
      | 20    | engines | 100   | engines | 0.6   | 1.0  |
      | 100   | engines | 100   | engines | 0.85  | 1.0  |
      | 100   | engines | 0     | engines | 0.0   | 0.15 |
      | 200   | engines | 50    | engines | 0.3   | 0.7  |
      | 100   | engines | 100   | stores  | 0.0   | 0.0  |
      | 100   | stores  | 100   | stores  | 0.85  | 1.0  |

  # Guards against load that no node knew of.
  Scenario Outline: What is to be fetched counts as unread work as far as fetches do not come
    Given <place> "keeper" with a prompt's shared 800 tokens and <waiting> tokens waiting, and an idle runner without them
    When a choice is made while fetches from engines miss <missed> of the tokens
    Then "<chosen>" is chosen, expected after <least> to <most> ms, and <unread> tokens count there as unread

    Examples: a prompt has 200 tokens of its own; 38 are read in a ms, a fetch takes 6 ms if it comes
      | place    | waiting | missed | chosen | least | most | unread |
      | a runner | 2000    | 0.0    | idle   | 31    | 32   | 200    |
      | a runner | 1500    | 1.0    | keeper | 55    | 56   | 200    |
      | a runner | 20000   | 1.0    | idle   | 50    | 51   | 1000   |
      | a store  | 0       | 1.0    | idle   | 31    | 32   | 200    |
