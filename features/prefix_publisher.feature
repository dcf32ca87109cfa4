Feature: Digests stay within their byte budget
  Scenario Outline: The sample gets coarser with the rate of changes
    Given an index of 2000 blocks of which <changes> change a second
    When it is published for 150 seconds to <receivers> nodes with 2000 bytes a second
    Then the digests took at most 2600 bytes a second
    And the sample bits ended between <least> and <most>
    And the view ends equal to the sampled index

    Examples:
      | changes | receivers | least | most |
      | 0       | 1         | 0     | 0    |
      | 10      | 5         | 0     | 1    |
      | 400     | 5         | 3     | 6    |
      | 2000    | 5         | 5     | 9    |

  Scenario Outline: A refinement given up leaves no block believed that is gone
    Given an index of 2000 blocks of which 400 change a second
    When it is published for 30 seconds to 1 nodes with 2000 bytes a second
    And nothing changes until a refinement is half sent
    And <removed> blocks are removed in one batch
    And it is published for 60 seconds to 1 nodes with 2000 bytes a second
    Then the view ends equal to the sampled index

    Examples:
      | removed |
      | 500     |
      | 900     |
      | 1300    |
      | 1700    |
      | 2000    |

  Scenario Outline: A receiver that missed digests gets <answer>
    Given an index of 2000 blocks of which 10 change a second
    When it is published for 40 seconds to 1 nodes with 2000 bytes a second
    And a receiver asks after digest <sequence> of stream <stream>
    Then it is answered with <digests> digests and <full> full one

    Examples:
      | answer                                      | sequence | stream | digests | full |
      | the last one                                | -1       | 5      | 1       | 0    |
      | those still at hand                         | -32      | 5      | 32      | 0    |
      | everything when some are gone               | -33      | 5      | 0       | 1    |
      | everything when nothing is known            | -1000    | 0      | 0       | 1    |
      | everything when it followed another home    | -1       | 4      | 0       | 1    |

  Scenario: A full digest taken during a refinement stays true after it
    Given an index of 2000 blocks of which 400 change a second
    When it is published for 30 seconds to 1 nodes with 2000 bytes a second
    And nothing changes until a refinement is half sent
    And the view is lost and asks for everything
    And it is published for 60 seconds to 1 nodes with 2000 bytes a second
    Then the view ends equal to the sampled index

  Scenario: A digest and its request survive encoding within one cast
    Given an index of 2000 blocks of which 0 change a second
    When it is published for 20 seconds to 1 nodes with 100000 bytes a second
    Then every digest encodes to at most 1000 bytes and decodes to itself
