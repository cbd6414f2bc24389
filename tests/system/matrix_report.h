#ifndef TARRAGON_TESTS_SYSTEM_MATRIX_REPORT_H_
#define TARRAGON_TESTS_SYSTEM_MATRIX_REPORT_H_

#include <string>

namespace tarragon::system_test {

/// Keeps the result of one cell of the fault matrix for WriteMatrix.
void RecordCell(const std::string& fault, const std::string& step,
                const std::string& result);

/// Leaves out all cells but those whose "FAULT x STEP" contains `text`.
void ChooseCells(const std::string& text);
bool IsChosen(const std::string& fault, const std::string& step);

/// Writes all cells as a table of Markdown. False if the file cannot be
/// written.
bool WriteMatrix(const std::string& file);

}  // namespace tarragon::system_test

#endif  // TARRAGON_TESTS_SYSTEM_MATRIX_REPORT_H_
