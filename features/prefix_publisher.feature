Feature: Digests stay within their byte budget

  Guards against digests that take more bandwidth than allowed as blocks change, and against views
  that hold removed blocks after a change of the sample or lost digests.

  Scenario Outline: The sample becomes coarser with the rate of changes
    Given an index of 2000 blocks of which <changes> change a second
    When the index is published for 150 seconds to <receivers> nodes with 2000 bytes a second
    Then the digests used at most 2600 bytes a second
    And the sample bits ended between <least> and <most>
    And the view ends equal to the sampled index

    Examples:
      | changes | receivers | least | most |
      | 0       | 1         | 0     | 0    |
      | 10      | 5         | 0     | 1    |
      | 400     | 5         | 3     | 6    |
      | 2000    | 5         | 5     | 9    |

  Scenario Outline: An abandoned refinement leaves no removed block in the view
    Given an index of 2000 blocks of which 400 change a second
    When the index is published for 30 seconds to 1 nodes with 2000 bytes a second
    And nothing changes until a refinement is half sent
    And <removed> blocks are removed in one batch
    And the index is published for 60 seconds to 1 nodes with 2000 bytes a second
    Then the view ends equal to the sampled index

    Examples:
      | removed |
      | 500     |
      | 900     |
      | 1300    |
      | 1700    |
      | 2000    |

  Scenario Outline: A receiver that missed digests receives <answer>
    Given an index of 2000 blocks of which 10 change a second
    When the index is published for 40 seconds to 1 nodes with 2000 bytes a second
    And a receiver requests the digests after <sequence> of stream <stream>
    Then the receiver gets <digests> digests and <full> full digests

    Examples:
      | answer                                      | sequence | stream | digests | full |
      | the last digest                             | -1       | 5      | 1       | 0    |
      | the digests that are still kept             | -32      | 5      | 32      | 0    |
      | a full digest when some are no longer kept  | -33      | 5      | 0       | 1    |
      | a full digest when it has none              | -1000    | 0      | 0       | 1    |
      | a full digest when it followed another home | -1       | 4      | 0       | 1    |

  Scenario: A full digest sent during a refinement stays correct after it
    Given an index of 2000 blocks of which 400 change a second
    When the index is published for 30 seconds to 1 nodes with 2000 bytes a second
    And nothing changes until a refinement is half sent
    And the view is lost and requests a full digest
    And the index is published for 60 seconds to 1 nodes with 2000 bytes a second
    Then the view ends equal to the sampled index

  Scenario: A digest and its request survive encoding within one cast
    Given an index of 2000 blocks of which 0 change a second
    When the index is published for 20 seconds to 1 nodes with 100000 bytes a second
    Then every digest encodes to at most 1000 bytes and decodes to itself
