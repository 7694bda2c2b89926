Feature: Targets that fail gray
  Which target gets work, and which is taken out, on a service of 6 targets with 3
  slots each before 12 VMs in 3 data centres.

  Scenario Outline: A target fails real work
    Given a load of half of all slots and a floor of 9 slots
    When after 5 seconds target 2 <fault>
    And 15 seconds pass
    Then target 2 gets less than a fifth of its share after <limit> seconds
    And no healthy target is ejected
    And at least 95% of the requests after that are answered in time

    Examples:
      | fault                   | limit |
      | fails every request     | 3     |
      | fails a third           | 5     |
      | is 5 times slower       | 5     |
      | hangs                   | 3     |
      | flaps every 4 seconds   | 3     |

  Scenario Outline: The fault is not the targets'
    Given a load of half of all slots and a floor of 9 slots
    When after 5 seconds <fault>
    And 15 seconds pass
    Then no healthy target is ejected

    Examples:
      | fault                                      |
      | VM 1 loses its link to target 2            |
      | one data centre loses its link to target 2 |
      | VM 1 sees every second request fail        |
      | everything fails a third                   |
      | everything is 3 times slower               |

  Scenario: Half of the targets fail and the floor limits ejections
    Given a load of half of all slots and a floor of 15 slots
    When after 5 seconds targets 1, 2 and 3 fail every request
    And 15 seconds pass
    Then at least 15 slots stay in service
