Feature: Cache events taken in by an engine's index
  # Arrivals: run, batch number, optional weights, then blocks stored (+), removed (-) or all
  # cleared (*); "dump" carries all blocks at a batch number; "wait" lets seconds pass.
  Scenario Outline: What is believed after <fault>
    Given an index that has taken in "<arrivals>"
    Then it believes exactly the blocks "<blocks>"
    And it needs "<need>"

    Examples:
      | fault                                | arrivals                             | blocks | need    |
      | batches in order                     | r1#1+ab r1#2-a r1#3+c                | bc     | nothing |
      | a doubled batch                      | r1#1+ab r1#2-a r1#1+ab               | b      | nothing |
      | a batch overtaken by the next        | r1#1+a r1#3-b r1#2+bc                | ac     | nothing |
      | a lost batch                         | r1#1+ab r1#3-a                       | ab     | replay  |
      | a lost batch replayed                | r1#1+ab r1#3-a r1#2+c                | bc     | nothing |
      | a lost batch never replayed          | r1#1+ab r1#3-a wait2                 |        | dump    |
      | one of two gaps filled               | r1#1+ab r1#3-a r1#5-b r1#2+c         | bc     | replay  |
      | one of two gaps filled, other stays  | r1#1+ab r1#3-a r1#5-b wait1 r1#2+c wait1 |    | dump    |
      | joining in the middle of a run       | r1#7+ab                              |        | dump    |
      | all blocks cleared                   | r1#1+ab r1#2*                        |        | nothing |
      | a batch of an earlier run            | r2#1+a r1#2+b                        | a      | nothing |
      | an engine that came back empty       | r1#1+ab r2#1+c                       | c      | nothing |
      | a new run joined late                | r1#1+ab r2#3+c                       |        | dump    |
      | a new run's first batches swapped    | r1#1+ab r2#2-c r2#1+cd               | d      | nothing |
      | other weights                        | r1#1+ab r1#2v2+c                     | c      | nothing |
      | other weights after a lost batch     | r1#1+ab r1#3v2+c                     |        | replay  |
      | a dump                               | r1#1+ab r1dump4=cd                   | cd     | nothing |
      | a dump older than the events         | r1#1+ab r1#2-a r1dump1=ab            | b      | nothing |
      | a dump of an earlier run             | r2#1+a r1dump9=bc                    | a      | nothing |
      | a dump of a later run                | r1#1+ab r2dump9=c                    | c      | nothing |
      | a late batch that the dump includes  | r1dump4=cd r1#3-c r1#4+a             | cd     | nothing |
      | events after the dump, kept waiting  | r1#6+e r1#5-c r1dump4=cd             | de     | nothing |
      | a gap after the dump, kept waiting   | r1#6+e r1dump4=cd wait2              |        | dump    |
      | an old dump after the state was lost | r1#1+a r1#2+b r1#4+c wait2 r1dump1=z |        | dump    |
      | news of a later run                  | r1#1+ab run2                         |        | dump    |
      | news of an earlier run               | r2#1+ab run1                         | ab     | nothing |
