Feature: Blocks whose fetch fails count as prompt tokens to prefill
  Guards against repeated prefill at engines that are assumed to fetch blocks, but do not.

  # Guards against prompts that are prefilled again because engines that do not fetch are assumed to.
  Scenario Outline: Failed fetches are learnt, separately for fetches from engines and from stores
    Given engines that prefill 14 tokens per ms, plus 10 ms and 2 ms per active request
    When <count> first events are observed, after fetches of 1500 tokens from <sources> of which <failed> in 100 fail, and as many without a fetch
    Then a share of <least> to <most> of the tokens from <source> is expected to be prefilled

    Examples:
      | count | sources | failed | source  | least | most |
      | 0     | engines | 0      | engines | 0.0   | 0.0  |
      | 20    | engines | 100    | engines | 0.6   | 1.0  |
      | 100   | engines | 100    | engines | 0.85  | 1.0  |
      | 100   | engines | 0      | engines | 0.0   | 0.15 |
      | 200   | engines | 50     | engines | 0.3   | 0.7  |
      | 100   | engines | 100    | stores  | 0.0   | 0.0  |
      | 100   | stores  | 100    | stores  | 0.85  | 1.0  |

  # Guards against prefill that no node counts as load: that of tokens whose fetch fails.
  Scenario Outline: Tokens to fetch count as waiting prefill in proportion to the fetches that fail
    Given <source> "holder" that caches a prompt's 800 shared tokens and has <waiting> tokens waiting, and an idle engine that caches none
    When an engine is chosen while fetches from engines fail for <failed> of the tokens
    Then "<chosen>" is chosen with an estimate of <least> to <most> ms, and <added> tokens are added to those waiting there

    Examples: the prompt has 200 own tokens; engines prefill 38 tokens per ms, and a successful fetch takes 6 ms
      | source    | waiting | failed | chosen | least | most | added |
      | an engine | 2000    | 0.0    | idle   | 31    | 32   | 200   |
      | an engine | 1500    | 1.0    | holder | 55    | 56   | 200   |
      | an engine | 20000   | 1.0    | idle   | 50    | 51   | 1000  |
      | a store   | 0       | 1.0    | idle   | 31    | 32   | 200   |
