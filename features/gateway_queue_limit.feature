Feature: The bound on queues falls where engines stall without end, and rises where they have time

  Scenario Outline: The bound on queues follows the stalls of engines and the time without reading
    Given a service whose engines have just been idle for <before> seconds
    When all of them stall for <stalled> seconds and then are idle for <idle> seconds
    Then between <least> and <most> of the bound is in force

    Examples: a stall of one second is borne by the reserve, the next one takes the whole bound
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

  # Guards against refusals at engines that have time: one stretch of reading made many streams pause
  # at once, and each of them lowered the bound.
  Scenario Outline: Streams that an engine leaves silent together show one stall
    Given a service whose engines have just been idle for 0 seconds
    When at one of <engines> engines with streams <streams> pause for 0.7 s, each begun <apart> s later
    Then between <least> and <most> of the bound is in force

    Examples: 0.5 s are allowed
      | engines | streams | apart | least | most |
      | 1       | 1       | 0.0   | 0.79  | 0.81 |
      | 1       | 30      | 0.0   | 0.79  | 0.81 |
      | 1       | 5       | 0.05  | 0.59  | 0.61 |
      | 1       | 3       | 0.3   | 0.39  | 0.41 |
      | 4       | 30      | 0.0   | 0.94  | 0.96 |
