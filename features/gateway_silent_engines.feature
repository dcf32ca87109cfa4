Feature: A silent engine is left for another one, but not while it reads the prompts of others

  # Guards against streams that were left for a pause that reading explains: their prompts were read
  # once more elsewhere, which made the streams there pause as well.
  Scenario Outline: Streams whose engines read many prompts that come to <where> are not read once more elsewhere
    Given 2 nodes before 2 runners that read 14000 tokens a second
    When a stream has begun at each runner and 16 prompts of 2000 tokens come at once to <where>
    Then every request has run once and is answered whole

    Examples: a node hears of prompts that were read for others by gossip
      | where          |
      | the same node  |
      | the other node |

  # Guards against waiting for a dead engine, or for one connection that went silent alone.
  Scenario Outline: When a silent attempt is left
    Given an engine that <worked> since the attempt's last event, with <others> tokens of others to read
    When the attempt, with 400 tokens of its own unread, may be silent for 0.75 seconds
    Then it is left after <left> seconds

    Examples: not while the engine reads for others, but after three times as long in any case
      | worked                       | others | left |
      | made events                  | 2000   | 2.25 |
      | made events                  | 0      | 0.75 |
      | made no event                | 2000   | 0.75 |
      | made events until 0.5 s      | 2000   | 1.25 |
      | has read for others by 1.1 s | 2000   | 1.25 |

  # Guards against streams that were sent elsewhere because their own node had stood still.
  Scenario Outline: A node that stood still looks first at what has arrived
    Given a watch of attempts that are checked on ticks
    When the node stands still for <still> seconds, <apart> s before an event of an attempt that may be silent for 0.75 seconds
    Then the attempt is "<ended>"

    Examples: the event came while the node stood still, or never
      | still | apart | ended |
      | 2.0   | 0.081 | kept  |
      | 2.0   | 9.0   | ended |
      | 0.0   | 0.5   | kept  |
      | 0.0   | 9.0   | ended |
