Feature: The queue limit falls while engines stall, and rises while they are idle
  Guards against queues that stay long while permanent prefill makes all streams pause, and against
  refusals after a short phase of prefill, which the reserve covers.

  Scenario Outline: The queue limit follows the stalls and the idle time of engines
    Given a service whose engines have just been idle for <before> seconds
    When all of these engines stall for <stalled> seconds and are then idle for <idle> seconds
    Then between <least> and <most> of the queue limit is in force

    Examples: a full reserve covers a stall of one second; another second uses up the whole limit
      | before | stalled | idle | least | most |
      | 0      | 0.0     | 10   | 1.0   | 1.0  |
      | 0      | 0.2     | 0    | 0.79  | 0.81 |
      | 0      | 0.5     | 0    | 0.49  | 0.51 |
      | 0      | 0.5     | 1    | 0.79  | 0.81 |
      | 0      | 100.0   | 0    | 0.05  | 0.05 |
      | 0      | 100.0   | 2    | 0.64  | 0.66 |
      | 20     | 0.9     | 0    | 1.0   | 1.0  |
      | 20     | 1.5     | 0    | 0.49  | 0.51 |
      | 60     | 1.5     | 0    | 0.49  | 0.51 |

  # Guards against refusals while engines have spare capacity: one phase of prefill made many streams
  # pause at once, and each of them lowered the limit.
  Scenario Outline: Simultaneous pauses of streams at one engine count as one stall
    Given a service whose engines have just been idle for 0 seconds
    When at one of <engines> engines with streams <streams> streams pause for 0.7 s, starting <apart> s apart
    Then between <least> and <most> of the queue limit is in force

    Examples: the route allows pauses of 0.5 s
      | engines | streams | apart | least | most |
      | 1       | 1       | 0.0   | 0.79  | 0.81 |
      | 1       | 30      | 0.0   | 0.79  | 0.81 |
      | 1       | 5       | 0.05  | 0.59  | 0.61 |
      | 1       | 3       | 0.3   | 0.39  | 0.41 |
      | 4       | 30      | 0.0   | 0.94  | 0.96 |
