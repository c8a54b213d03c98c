// Implements the disk hooks with POSIX calls. The descriptors of written files are kept open, because fsync
// on a new descriptor could miss a write error that the kernel reported to the earlier one.

#include <LibReplication/FolderDisk.h>

#include <LibCore/Try.h>

#include <fcntl.h>
#include <fmt/format.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstdio>
#include <cstring>
#include <filesystem>
#include <map>
#include <memory>
#include <system_error>
#include <utility>

namespace almondwing {

namespace {

constexpr ::mode_t fileMode = 0640;

absl::Status errnoStatus(std::string_view operation, std::string const &path)
{
    int const errorNumber = errno;
    std::string const text =
        fmt::format("{} {}: {}", operation, path, std::generic_category().message(errorNumber));
    return errorNumber == ENOSPC || errorNumber == EDQUOT ? absl::ResourceExhaustedError(text)
                                                          : absl::UnavailableError(text);
}

class FileDescriptor
{
public:
    explicit FileDescriptor(int newNumber = -1) : number(newNumber) { }
    FileDescriptor(FileDescriptor &&other) noexcept : number(std::exchange(other.number, -1)) { }
    FileDescriptor &operator=(FileDescriptor &&other) noexcept
    {
        std::swap(this->number, other.number);
        return *this;
    }
    FileDescriptor(FileDescriptor const &) = delete;
    FileDescriptor &operator=(FileDescriptor const &) = delete;
    ~FileDescriptor()
    {
        if (this->number >= 0)
            ::close(this->number);
    }

    int get() const { return this->number; }
    bool isOpen() const { return this->number >= 0; }

private:
    int number;
};

absl::Status writeAll(int descriptor, std::string_view data, std::string const &path)
{
    while (!data.empty()) {
        ::ssize_t const written = ::write(descriptor, data.data(), data.size());
        if (written < 0 && errno == EINTR)
            continue;
        if (written < 0)
            return errnoStatus("write", path);
        data.remove_prefix(static_cast<std::size_t>(written));
    }
    return absl::OkStatus();
}

absl::StatusOr<std::string> readAll(int descriptor, std::string const &path)
{
    std::string contents;
    std::array<char, 65536> buffer{};
    for (;;) {
        ::ssize_t const count = ::read(descriptor, buffer.data(), buffer.size());
        if (count < 0 && errno == EINTR)
            continue;
        if (count < 0)
            return errnoStatus("read", path);
        if (count == 0)
            return contents;
        contents.append(buffer.data(), static_cast<std::size_t>(count));
    }
}

class FolderDisk
{
public:
    FolderDisk(std::string newFolder, FileDescriptor newFolderDescriptor)
        : folder(std::move(newFolder)), folderDescriptor(std::move(newFolderDescriptor))
    {
    }

    absl::StatusOr<std::optional<std::string>> read(std::string const &name)
    {
        FileDescriptor const file(::openat(this->folderDescriptor.get(), name.c_str(), O_RDONLY | O_CLOEXEC));
        if (!file.isOpen() && errno == ENOENT)
            return std::optional<std::string>();
        if (!file.isOpen())
            return errnoStatus("open", this->pathOf(name));
        return std::optional(TRY(readAll(file.get(), this->pathOf(name))));
    }

    absl::Status create(std::string const &name, std::string_view data)
    {
        this->files.erase(name);
        int const descriptor = TRY(this->openForWriting(name, O_CREAT | O_TRUNC));
        return writeAll(descriptor, data, this->pathOf(name));
    }

    absl::Status append(std::string const &name, std::string_view data)
    {
        int const descriptor = TRY(this->openForWriting(name, 0));
        return writeAll(descriptor, data, this->pathOf(name));
    }

    absl::Status truncate(std::string const &name, std::uint64_t size)
    {
        int const descriptor = TRY(this->openForWriting(name, 0));
        return ::ftruncate(descriptor, static_cast<::off_t>(size)) == 0
            ? absl::OkStatus()
            : errnoStatus("truncate", this->pathOf(name));
    }

    absl::Status sync(std::string const &name)
    {
        int const descriptor = TRY(this->openForWriting(name, 0));
        return ::fsync(descriptor) == 0 ? absl::OkStatus() : errnoStatus("sync", this->pathOf(name));
    }

    absl::Status rename(std::string const &from, std::string const &to)
    {
        int const descriptor = this->folderDescriptor.get();
        if (::renameat(descriptor, from.c_str(), descriptor, to.c_str()) != 0)
            return errnoStatus("rename", this->pathOf(from));
        this->files.erase(to);
        if (auto renamed = this->files.extract(from)) {
            renamed.key() = to;
            this->files.insert(std::move(renamed));
        }
        return absl::OkStatus();
    }

    absl::Status syncFolder()
    {
        return ::fsync(this->folderDescriptor.get()) == 0 ? absl::OkStatus()
                                                          : errnoStatus("sync", this->folder);
    }

private:
    std::string pathOf(std::string const &name) const { return this->folder + "/" + name; }

    absl::StatusOr<int> openForWriting(std::string const &name, int flags)
    {
        auto const known = this->files.find(name);
        if (known != this->files.end())
            return known->second.get();
        FileDescriptor file(::openat(this->folderDescriptor.get(), name.c_str(),
                                     O_WRONLY | O_APPEND | O_CLOEXEC | flags, fileMode));
        if (!file.isOpen())
            return errnoStatus("open", this->pathOf(name));
        return this->files.emplace(name, std::move(file)).first->second.get();
    }

    std::string folder;
    FileDescriptor folderDescriptor; // Holds the lock on the folder.
    std::map<std::string, FileDescriptor> files; // Files open for writing, by their current names.
};

} // namespace

absl::StatusOr<DiskHooks> openFolderDisk(std::string const &folder)
{
    std::error_code error;
    std::filesystem::create_directories(folder, error);
    if (error)
        return absl::UnavailableError(fmt::format("create {}: {}", folder, error.message()));
    FileDescriptor descriptor(::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
    if (!descriptor.isOpen())
        return errnoStatus("open", folder);
    if (::flock(descriptor.get(), LOCK_EX | LOCK_NB) != 0)
        return absl::FailedPreconditionError(fmt::format("{} is in use by another process", folder));
    auto const disk = std::make_shared<FolderDisk>(folder, std::move(descriptor));
    return DiskHooks{
        .read = [disk](std::string const &name) { return disk->read(name); },
        .create = [disk](std::string const &name, std::string_view data) { return disk->create(name, data); },
        .append = [disk](std::string const &name, std::string_view data) { return disk->append(name, data); },
        .truncate = [disk](std::string const &name,
                           std::uint64_t size) { return disk->truncate(name, size); },
        .sync = [disk](std::string const &name) { return disk->sync(name); },
        .rename = [disk](std::string const &from, std::string const &to) { return disk->rename(from, to); },
        .syncFolder = [disk] { return disk->syncFolder(); }};
}

} // namespace almondwing
