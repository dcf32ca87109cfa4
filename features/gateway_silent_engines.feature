Feature: An attempt at a silent engine is abandoned, but not while the engine prefills other prompts
  Guards against waiting for dead engines, and against prompts that are prefilled again elsewhere
  although their engine is only busy, or the node itself was suspended.

  # Guards against streams that are abandoned for a pause that other prompts explain: their own prompts
  # were prefilled again elsewhere, which made the streams there pause as well.
  Scenario Outline: Streams that pause because of many prompts sent to <where> are not prefilled again elsewhere
    Given 2 nodes and 2 engines that prefill 14000 tokens per second
    When a stream has begun at each engine and 16 prompts of 2000 tokens are sent at once to <where>
    Then every request has run once and its answer is complete

    Examples: a node learns by gossip of prompts that engines prefill for other nodes
      | where          |
      | the same node  |
      | the other node |

  # Guards against waiting for a dead engine, or on a single dead connection of a working engine.
  Scenario Outline: When a silent attempt is abandoned
    Given an engine that <activity> since the attempt's last event, with <others> tokens of other requests to prefill
    When the attempt, with 400 own tokens to prefill, has a timeout of 0.75 seconds
    Then the attempt is abandoned after <seconds> seconds

    Examples: not while the engine prefills for others, but in any case after three times the timeout
      | activity                            | others | seconds |
      | emitted events                      | 2000   | 2.25    |
      | emitted events                      | 0      | 0.75    |
      | emitted no event                    | 2000   | 0.75    |
      | emitted events until 0.5 s          | 2000   | 1.25    |
      | finished the other prefill at 1.1 s | 2000   | 1.25    |

  # Guards against streams that are sent elsewhere because their own node was suspended.
  Scenario Outline: A node that was suspended processes what has arrived before it abandons an attempt
    Given a watch that checks attempts on ticks
    When the node is suspended for <suspended> seconds, <apart> s before an event of an attempt with a timeout of 0.75 seconds
    Then the attempt is "<outcome>"

    Examples: the event arrived during the suspension, or never
      | suspended | apart | outcome   |
      | 2.0       | 0.081 | kept      |
      | 2.0       | 9.0   | abandoned |
      | 0.0       | 0.5   | kept      |
      | 0.0       | 9.0   | abandoned |
