Feature: The places of brittle back ends hold for all nodes together at any size
  These scenarios simulate the rules alone. A back end that must refuse more than it bears in a
  second falls over; in all at most two and a tenth of the back ends may.

  Scenario Outline: Back ends fall over no more than is allowed
    Given <nodes> nodes before <back_ends> back ends with <slots> slots and room for <room>
    When <per_s> requests of a second each arrive per second for 12 seconds, <spread>
    Then at most 2 of them and a tenth of their number refuse more than <refusals> in a second
    And at least <used> in 100 of their slots are used, or nobody is turned away

    Examples: more requests than there are places
      | nodes | back_ends | slots | room | per_s | spread               | refusals | used |
      | 7     | 9         | 64    | 64   | 900   | evenly               | 1        | 50   |
      | 7     | 4         | 6     | 7    | 60    | evenly               | 1        | 50   |
      | 7     | 4         | 6     | 4    | 60    | evenly               | 3        | 30   |
      | 64    | 90        | 48    | 50   | 6000  | evenly               | 1        | 50   |
      | 195   | 60        | 48    | 50   | 4000  | evenly               | 1        | 50   |
      | 400   | 60        | 48    | 50   | 4000  | evenly               | 1        | 50   |
      | 400   | 20        | 6     | 8    | 300   | evenly               | 1        | 25   |

    Examples: uneven callers; a quarter at least, as of any kind of request
      | nodes | back_ends | slots | room | per_s | spread               | refusals | used |
      | 7     | 9         | 64    | 66   | 300   | half at one node     | 1        | 25   |
      | 64    | 60        | 48    | 50   | 1500  | half at one node     | 1        | 25   |

    Examples: room for much less than the slots
      | nodes | back_ends | slots | room | per_s | spread               | refusals | used |
      | 7     | 9         | 64    | 30   | 600   | evenly               | 8        | 20   |

  Scenario Outline: What a refusal teaches depends on the requests at that time
    Given a brittle back end with 64 slots and <present> requests
    When it refuses a request
    Then it gets none for 1 second, then has <places> places, <later> after 10 seconds and <at_last> after 2 minutes

    Examples:
      | present | places | later | at_last |
      | 40      | 40     | 50    | 57      |
      | 20      | 20     | 30    | 57      |
      | 3       | 57     | 57    | 57      |
